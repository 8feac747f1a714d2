package org.cactusshift.internal.coordination.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.config.FailureDomainConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SpreadCapacityPlannerTest {
    private static final long HOUR_MILLIS = 3_600_000;
    private static final List<FailureDomainConfig> DOMAINS = List.of(
            new FailureDomainConfig(FailureDomainId.fromString("ostend-a"), 4),
            new FailureDomainConfig(FailureDomainId.fromString("zeebrugge-b"), 4),
            new FailureDomainConfig(FailureDomainId.fromString("bruges-d"), 4));
    private static final CapacityTerms TERMS = new CapacityTerms(4, 1.2, 60_000, 1_000 * HOUR_MILLIS);
    private static final SpreadCapacityPlanner PLANNER = SpreadCapacityPlanner.create();

    private static CapacitySnapshot snapshot(
            List<CapacityUpstream> upstreams,
            Set<FailureDomainId> unavailableReclaimable,
            double needed,
            double protectedUpstreams) {
        return new CapacitySnapshot(
                upstreams, DOMAINS, unavailableReclaimable, Set.of(), needed, protectedUpstreams, TERMS);
    }

    private static List<CapacityUpstream> upstreams(int onDemand, int reclaimable) {
        List<CapacityUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < onDemand + reclaimable; i++) {
            upstreams.add(new CapacityUpstream(
                    Optional.of(UpstreamId.fromString("u" + i)),
                    DOMAINS.get(i % 3).id(),
                    i >= onDemand));
        }
        return upstreams;
    }

    private static List<CapacityUpstream> after(CapacityPlan plan, List<CapacityUpstream> before) {
        List<CapacityUpstream> after = new ArrayList<>(before);
        plan.orders()
                .forEach(order ->
                        after.add(new CapacityUpstream(Optional.empty(), order.failureDomain(), order.reclaimable())));
        return after;
    }

    @ParameterizedTest
    @CsvSource({"0, 2", "0, 3", "1, 4", "6, 2"})
    void protectedCapacitySurvivesTheLossOfAnyFailureDomain(int onDemand, int protectedUpstreams) {
        List<CapacityUpstream> before = upstreams(onDemand, 0);
        List<CapacityUpstream> planned =
                after(PLANNER.plan(snapshot(before, Set.of(), 6, protectedUpstreams), 0), before);
        for (FailureDomainConfig lost : DOMAINS) {
            long remaining = planned.stream()
                    .filter(upstream -> !upstream.reclaimable())
                    .filter(upstream -> !upstream.failureDomain().equals(lost.id()))
                    .count();
            assertTrue(remaining >= protectedUpstreams, remaining + " left without " + lost.id());
        }
    }

    @Test
    void ordersUnprotectedCapacityAsCheaperReclaimableUpstreams() {
        CapacityPlan plan = PLANNER.plan(snapshot(List.of(), Set.of(), 8, 2), 0);
        double cost = plan.orders().stream()
                .mapToDouble(order -> order.reclaimable() ? 1.2 : 4)
                .sum();
        assertEquals(10, plan.orders().size());
        // Ten on-demand upstreams would cost 40.
        assertTrue(cost <= 0.7 * 40, "cost " + cost);
    }

    @Test
    void ordersOnDemandWhereReclaimableIsUnavailable() {
        Set<FailureDomainId> all =
                Set.of(DOMAINS.get(0).id(), DOMAINS.get(1).id(), DOMAINS.get(2).id());
        CapacityPlan plan = PLANNER.plan(snapshot(upstreams(3, 0), all, 5, 2), 0);
        assertEquals(3, plan.orders().size());
        assertTrue(plan.orders().stream().noneMatch(CapacityPlan.Order::reclaimable));
    }

    // The shutdown is at hour 1,000.
    @ParameterizedTest
    @CsvSource({"0, true", "998, true", "1000, false"})
    void ordersNothingShortlyBeforeTheShutdown(long hour, boolean expectsOrders) {
        CapacityPlan plan = PLANNER.plan(snapshot(List.of(), Set.of(), 4, 1), hour * HOUR_MILLIS);
        assertEquals(expectsOrders, !plan.orders().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"8, 4, 0", "3, 4, 1"})
    void releasesOnlyALargeSurplus(double needed, int reclaimable, int released) {
        CapacityPlan plan = PLANNER.plan(snapshot(upstreams(6, reclaimable), Set.of(), needed, 2), 0);
        assertEquals(List.of(), plan.orders());
        assertEquals(released, plan.releases().size());
    }
}
