package org.cactusshift.internal.coordination.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.DispatchFixture;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.EngineLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CostRoutingTest {
    private static final CostRouting ROUTING = CostRouting.create();

    private static FleetView fleet(int upstreams) {
        FleetView fleet = FleetView.create();
        fleet.install(DispatchFixture.upstreams(upstreams));
        fleet.upstreams().forEach(upstream -> upstream.onLoad(load(0, 0), 0));
        return fleet;
    }

    /** Returns the report of an engine with 64 KV-cache blocks that prefills 8,000 and decodes 50 tokens per second. */
    private static EngineLoad load(long queuedTokens, int usedBlocks) {
        int running = queuedTokens > 0 || usedBlocks > 0 ? 1 : 0;
        return new EngineLoad(
                0, running, 0, queuedTokens, usedBlocks, 64, 8_000, 50, UpstreamConfig.Role.MIXED, false, 1);
    }

    private static RouteQuery query(long promptTokens, List<Long> prefixes, double longShare, double nodePosition) {
        DispatchRequest request = new DispatchRequest(
                RequestId.fromString("r"),
                AccountId.fromString("fonds"),
                DispatchFixture.SERVICE,
                promptTokens,
                100,
                prefixes,
                60_000,
                true,
                1);
        return new RouteQuery(request, promptTokens, 50, Set.of(), false, longShare, nodePosition);
    }

    private static UpstreamId choose(FleetView fleet, RouteQuery query, long seed) {
        return ROUTING.choose(fleet, query, 0, new Random(seed))
                .orElseThrow()
                .upstream()
                .id();
    }

    @ParameterizedTest
    @CsvSource({"8, 3", "64, 3"})
    void eightNodesWithTheSameReportSpreadTheirRequests(int upstreams, int maximumPerUpstream) {
        Map<UpstreamId, Integer> chosen = new HashMap<>();
        for (int node = 0; node < 8; node++) {
            chosen.merge(choose(fleet(upstreams), query(400, List.of(), 1, node / 8.0), node), 1, Integer::sum);
        }
        int largest = chosen.values().stream().max(Integer::compare).orElseThrow();
        assertTrue(largest <= maximumPerUpstream, chosen.toString());
    }

    @Test
    void avoidsTheUpstreamWithALongQueue() {
        FleetView fleet = fleet(2);
        fleet.upstreams().get(0).onLoad(load(7_900, 4), 0);
        for (int seed = 0; seed < 20; seed++) {
            assertEquals(
                    "engine-1", choose(fleet, query(400, List.of(), 1, 0), seed).value());
        }
    }

    @Test
    void countsOwnRequestsSentSinceTheReportWasMeasured() {
        FleetView fleet = fleet(2);
        fleet.upstreams().get(0).onSend(7_900, 4, 1);
        fleet.upstreams().get(0).onLoad(load(0, 0), 2);
        assertEquals(7_900, fleet.upstreams().get(0).backlogTokens(1), 1);
        assertEquals("engine-1", choose(fleet, query(400, List.of(), 1, 0), 1).value());
    }

    @Test
    void prefersTheUpstreamWithALongCachedPrefix() {
        FleetView fleet = fleet(4);
        fleet.prefixes().onSend(UpstreamId.fromString("engine-2"), List.of(1L, 2L, 3L, 4L));
        assertEquals(
                "engine-2",
                choose(fleet, query(8_192, List.of(1L, 2L, 3L, 4L), 1, 0.5), 1).value());
    }

    @Test
    void returnsNoRouteWhenEveryKvCacheIsFull() {
        FleetView fleet = fleet(2);
        fleet.upstreams().forEach(upstream -> upstream.onLoad(load(10, 64), 0));
        Optional<RoutingDecision> decision = ROUTING.choose(fleet, query(4_096, List.of(), 1, 0), 0, new Random(1));
        assertTrue(decision.isEmpty());
    }

    @Test
    void returnsNoRouteForALongPromptThatWouldMakeAnOpenAttemptLate() {
        FleetView fleet = fleet(1);
        UpstreamState upstream = fleet.upstreams().get(0);
        upstream.onSend(0, 1, 0);
        upstream.add(OutputDeadline.create(1_500, 50));
        assertTrue(ROUTING.choose(fleet, query(8_000, List.of(), 1, 0), 0, new Random(1))
                .isEmpty());
        assertTrue(ROUTING.choose(fleet, query(400, List.of(), 1, 0), 0, new Random(1))
                .isPresent());
    }

    @ParameterizedTest
    @CsvSource({"8000, true", "400, false"})
    void sendsLongPromptsToTheFrontPartitionAndShortOnesToTheRest(long promptTokens, boolean isFront) {
        FleetView fleet = fleet(8);
        fleet.upstreams().forEach(upstream -> upstream.onLoad(load(10, 2), 0));
        for (int seed = 0; seed < 50; seed++) {
            UpstreamId id = choose(fleet, query(promptTokens, List.of(), 0.5, 0), seed);
            assertEquals(isFront, fleet.find(id).orElseThrow().position() < 0.5, id.value());
        }
    }
}
