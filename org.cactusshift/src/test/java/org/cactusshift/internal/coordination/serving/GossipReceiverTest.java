package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;
import org.cactusshift.internal.coordination.limits.UpstreamLimitReport;
import org.cactusshift.internal.coordination.performance.PerformanceReport;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GossipReceiverTest {
    private static final InstanceId NODE = InstanceId.fromString("n1");
    private static final IncarnationId INCARNATION = IncarnationId.fromString("i1");
    private static final ServiceId SERVICE = ServiceId.fromString("s1");
    private static final String ADDRESS = "127.0.0.1:7";

    private final List<UpstreamLimitReport> limits = new ArrayList<>();
    private final UsageCounts usage = UsageCounts.create(5_000);
    private final GossipReceiver receiver = GossipReceiver.create(
            UpstreamDirectory.create(service -> 1, 1), new SiteClock(), usage, CrashHistory.create(1_000), limits::add);

    private static UsageCollector collector(String node, long fencingNumber) {
        return new UsageCollector(InstanceId.fromString(node), "127.0.0.1:1", fencingNumber);
    }

    private static GossipMessage message(
            Map<IncarnationId, Map<Long, Map<AccountId, Long>>> counts, Optional<UsageCollector> collector) {
        return message(counts, collector, List.of());
    }

    private static GossipMessage message(
            Map<IncarnationId, Map<Long, Map<AccountId, Long>>> counts,
            Optional<UsageCollector> collector,
            List<PerformanceReport> performance) {
        return new GossipMessage(
                NODE,
                INCARNATION,
                1,
                Map.of(),
                counts,
                collector,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Set.of(SERVICE),
                performance);
    }

    /** Guards against samples of a former incarnation that count for the one that replaced it. */
    @ParameterizedTest
    @CsvSource({"1, 3", "2, 0"})
    void samplesCountForTheirIncarnationOnly(long startedAtEpochMillis, long expectedSamples) {
        ServingFixture fixture = new ServingFixture();
        Upstream upstream = fixture.add("u", SERVICE, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        UpstreamIncarnation incarnation = new UpstreamIncarnation(upstream.id(), startedAtEpochMillis);
        GossipReceiver.create(fixture.directory, new SiteClock(), usage, CrashHistory.create(1_000), limits::add)
                .onMessage(
                        message(Map.of(), Optional.empty(), List.of(new PerformanceReport(incarnation, 3, 1))),
                        ADDRESS,
                        1);
        assertEquals(expectedSamples, upstream.performance().samples());
    }

    @Test
    void servicesThatAPeerDoesNotReachAreKeptAsLongAsItsMessagesArrive() {
        receiver.onMessage(message(Map.of(), Optional.empty()), ADDRESS, 1);
        assertEquals(Map.of(NODE, Set.of(SERVICE)), receiver.unreachableServices());
        receiver.expirePeers(1_000, 1_002);
        assertEquals(Map.of(), receiver.unreachableServices());
    }

    /** Scenario: a node that is isolated from the store learns of a new collector only from its peers. */
    @Test
    void collectorWithTheHighestFencingNumberIsKept() {
        receiver.onCollector(collector("a", 4));
        receiver.onMessage(message(Map.of(), Optional.of(collector("b", 9))), ADDRESS, 1);
        receiver.onCollector(collector("a", 4));
        assertEquals(collector("b", 9), receiver.collector().orElseThrow());
    }

    @Test
    void peerIsRemovedWhenItsMessagesStop() {
        receiver.onMessage(message(Map.of(), Optional.empty()), ADDRESS, 1);
        assertEquals(Map.of(NODE, ADDRESS), receiver.peerAddresses());
        assertEquals(Set.of(INCARNATION), receiver.peerIncarnations());
        receiver.expirePeers(1_000, 2_000);
        assertEquals(Map.of(), receiver.peerAddresses());
    }

    @Test
    void countsForwardedForAnUnreachableNodeAreCounted() {
        AccountId account = AccountId.fromString("a");
        IncarnationId lost = IncarnationId.fromString("lost");
        receiver.onMessage(message(Map.of(lost, Map.of(3L, Map.of(account, 5L))), Optional.empty()), ADDRESS, 1);
        assertEquals(Map.of(account, 5L), usage.total(3));
    }
}
