package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.cactusshift.id.FailureDomainId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetPlannerTest {
    private static Map<FailureDomainId, Integer> started(int... counts) {
        Map<FailureDomainId, Integer> started = new HashMap<>();
        for (int i = 0; i < counts.length; i++) {
            started.put(FailureDomainId.fromString("d" + i), counts[i]);
        }
        return started;
    }

    private static CapacityRule rule(int minimum, int maximum, double share) {
        OptionalDouble price = share == 0 ? OptionalDouble.empty() : OptionalDouble.of(share);
        return new CapacityRule(minimum, maximum, 4_000, price, Map.of());
    }

    private static int total(FleetPlan plan) {
        return plan.byDomain().values().stream()
                .mapToInt(FleetPlan.Counts::total)
                .sum();
    }

    private static int lasting(FleetPlan plan) {
        return plan.byDomain().values().stream()
                .mapToInt(FleetPlan.Counts::lasting)
                .sum();
    }

    @ParameterizedTest
    @CsvSource({"0.22, 16, 0", "0.6, 16, 0", "0.61, 8, 8", "0, 8, 8"})
    void reclaimableEnginesReplaceLastingOnesOnlyWhereTheyAreCheap(double share, int total, int lasting) {
        FleetPlan plan = FleetPlanner.plan(rule(1, 4, share), started(2, 2, 2, 2), true);
        assertEquals(total, total(plan));
        assertEquals(lasting, lasting(plan));
    }

    @ParameterizedTest
    @CsvSource({"2", "3", "6"})
    void noDomainGoesBeyondItsLimits(int maximum) {
        FleetPlan plan = FleetPlanner.plan(rule(1, maximum, 0.2), started(6, 1, 0), true);
        plan.byDomain().forEach((domain, counts) -> {
            assertTrue(counts.total() <= maximum, domain + " " + counts);
            assertTrue(counts.total() >= 1, domain + " " + counts);
        });
    }

    @Test
    void reclaimableEnginesAreSpread() {
        FleetPlan plan = FleetPlanner.plan(rule(1, 9, 0.2), started(3, 3, 3, 3), true);
        plan.byDomain().values().forEach(counts -> assertEquals(6, counts.reclaimable()));
    }

    private static Map<FailureDomainId, FleetPlan.Counts> present(int... reclaimable) {
        Map<FailureDomainId, FleetPlan.Counts> present = new HashMap<>();
        for (int i = 0; i < reclaimable.length; i++) {
            present.put(FailureDomainId.fromString("d" + i), new FleetPlan.Counts(0, reclaimable[i]));
        }
        return present;
    }

    /** Load pattern: recalls follow each other while no reclaimable engine is to be had anywhere. */
    @ParameterizedTest
    @CsvSource({"4, 4, 4, 4, 0", "0, 4, 4, 4, 0", "0, 4, 4, 0, 4", "0, 2, 4, 0, 6", "0, 0, 0, 0, 12"})
    void lastingEnginesStandInUpToThreeQuartersOfThePlan(int d0, int d1, int d2, int d3, int standIns) {
        CapacityRule rule = rule(1, 4, 0.22);
        FleetPlan plan = FleetPlanner.plan(rule, started(2, 2, 2, 2), true);
        Map<FailureDomainId, FleetPlan.Counts> more = FleetPlanner.substitutes(
                plan, rule, present(d0, d1, d2, d3), plan.byDomain().keySet());
        assertEquals(
                standIns,
                more.values().stream().mapToInt(FleetPlan.Counts::lasting).sum());
        assertEquals(
                0,
                more.values().stream().mapToInt(FleetPlan.Counts::reclaimable).sum());
    }

    /** Load pattern: one failure domain is recalled, and the others still have reclaimable engines. */
    @Test
    void reclaimableEnginesOfOtherDomainsStandInFirst() {
        CapacityRule rule = rule(1, 4, 0.22);
        FleetPlan plan = FleetPlanner.plan(rule, started(2, 1, 2, 1), true);
        Map<FailureDomainId, FleetPlan.Counts> more =
                FleetPlanner.substitutes(plan, rule, present(0, 3, 3, 3), Set.of(FailureDomainId.fromString("d0")));
        assertEquals(
                3,
                more.values().stream().mapToInt(FleetPlan.Counts::reclaimable).sum());
        assertTrue(more.values().stream().allMatch(counts -> counts.lasting() == 0));
    }

    /** Load pattern: the operator's engines register one after the other. */
    @Test
    void planGrowsWithTheEnginesThatAreKnown() {
        CapacityRule rule = rule(1, 4, 0.22);
        assertEquals(4, FleetPlanner.plan(rule, started(2, 0, 0, 0), false).total());
        assertEquals(8, FleetPlanner.plan(rule, started(2, 0, 2, 0), false).total());
        assertEquals(16, FleetPlanner.plan(rule, started(2, 2, 2, 2), true).total());
    }
}
