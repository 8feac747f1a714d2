package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.SiteChanges;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UsageCounts;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class UsageReportDriverTest {
    /** The era of the store before it is restored. */
    private static final long ERA = 1;

    private static final String PREFIX = "/cactusshift/usage/";
    private static final long WINDOW_MILLIS = 5_000;
    private static final long PERIOD_MILLIS = 500;
    private static final InstanceId SELF = InstanceId.fromString("n1");

    /** Keeps the follower from reading on its own. */
    private static final long NEVER_MILLIS = 1_000_000_000;

    private final SettableClock clock = new SettableClock();
    private final EventLoop eventLoop = new DefaultEventLoop();
    private final FakeStore store = new FakeStore();
    private final UsageCounts counts = UsageCounts.create(WINDOW_MILLIS);
    private final FakeClient client = new FakeClient();
    private boolean holdsDuty = true;
    private final SiteStateFollower follower = SiteStateFollower.create(
            new SiteStateFollower.Dependencies(
                    store,
                    FakeDecoder.of(),
                    UpstreamDirectory.create(service -> 1, 1),
                    CrashDetector.create(CrashHistory.create(1), crash -> {}),
                    eventLoop,
                    clock,
                    (event, fields) -> {},
                    new RelayMetrics()),
            "/cactusshift/",
            NEVER_MILLIS);
    private final UsageReportDriver driver = UsageReportDriver.create(
            counts,
            client,
            store,
            follower,
            authority -> new DutyCaller(SELF, authority.fencingNumber(), () -> holdsDuty),
            PREFIX,
            (event, fields) -> {});

    @AfterEach
    void endEventLoop() {
        eventLoop.shutdownGracefully();
    }

    /** Accepts all reports. */
    private static final class FakeClient implements UsageReportClient {
        private final List<String> reports = new ArrayList<>();

        @Override
        public byte[] encode(long window, SortedMap<AccountId, Long> windowCounts) {
            return (window + " " + windowCounts).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void report(DutyCaller holder, byte[] body, Consumer<Either<Failure, Boolean>> receiver) {
            if (!holder.holdsDuty().getAsBoolean()) {
                receiver.accept(Either.left(Failure.noEffect("report usage", "platform", "not the holder")));
                return;
            }
            reports.add(new String(body, StandardCharsets.UTF_8));
            receiver.accept(Either.right(true));
        }
    }

    private void tickAsHolder(long epochMillis) {
        driver.tick(Optional.of(new Authority(DutyId.usage(0), 3, Long.MAX_VALUE)), PERIOD_MILLIS, epochMillis);
    }

    /** Guards against a window that is sealed but not reported, as all nodes were lost in between. */
    @Test
    void windowSealedBeforeThisNodeStartedIsReportedAsSealed() {
        follower.start();
        String key = PREFIX + 99;
        byte[] sealed = "sealed by another node".getBytes(StandardCharsets.UTF_8);
        follower.onTold(new SiteChanges(
                ERA, 10, 11, 0, List.of(new KeyChange(key, Optional.of(new VersionedValue(key, sealed, 11, 11)), 11))));
        long startEpochMillis = 101 * WINDOW_MILLIS + 100;
        tickAsHolder(startEpochMillis);
        tickAsHolder(startEpochMillis + 250);
        assertEquals(List.of("sealed by another node"), client.reports);
    }

    /** A window before this node started, of which nothing is sealed, was reported by another node or is lost. */
    @Test
    void earlierWindowsThatAreNotSealedAreLeftOut() {
        follower.start();
        long startEpochMillis = 101 * WINDOW_MILLIS + 100;
        counts.add(AccountId.fromString("a"), startEpochMillis);
        tickAsHolder(startEpochMillis);
        tickAsHolder(startEpochMillis + WINDOW_MILLIS + PERIOD_MILLIS + 1_000);
        assertEquals(List.of("101 {a=1}"), client.reports);
    }

    /** Guards against a report of a node that loses the duty while it seals the window or opens a connection. */
    @Test
    void reportIsNotSentOnceTheDutyIsLost() {
        follower.start();
        long startEpochMillis = 101 * WINDOW_MILLIS + 100;
        tickAsHolder(startEpochMillis);
        holdsDuty = false;
        tickAsHolder(startEpochMillis + WINDOW_MILLIS + PERIOD_MILLIS + 1_000);
        assertEquals(1, store.values.size());
        assertEquals(List.of(), client.reports);
    }
}
