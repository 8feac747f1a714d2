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
    private static Map<FailureDomainId, Integer> initialFleet(int... counts) {
        Map<FailureDomainId, Integer> initialFleet = new HashMap<>();
        for (int i = 0; i < counts.length; i++) {
            initialFleet.put(FailureDomainId.fromString("d" + i), counts[i]);
        }
        return initialFleet;
    }

    /** Returns a rule; a price ratio of 0 stands for no reclaimable engines. */
    private static CapacityRule rule(int minimum, int maximum, double reclaimablePriceRatio) {
        OptionalDouble price =
                reclaimablePriceRatio == 0 ? OptionalDouble.empty() : OptionalDouble.of(reclaimablePriceRatio);
        return new CapacityRule(minimum, maximum, 4_000, price, Map.of());
    }

    private static int total(FleetPlan plan) {
        return plan.byDomain().values().stream()
                .mapToInt(FleetPlan.Counts::total)
                .sum();
    }

    private static int onDemand(FleetPlan plan) {
        return plan.byDomain().values().stream()
                .mapToInt(FleetPlan.Counts::lasting)
                .sum();
    }

    @ParameterizedTest
    @CsvSource({"0.22, 16, 0", "0.6, 16, 0", "0.61, 8, 8", "0, 8, 8"})
    void reclaimableEnginesReplaceOnDemandOnesOnlyWhereTheyAreCheap(
            double reclaimablePriceRatio, int total, int onDemand) {
        FleetPlan plan = FleetPlanner.plan(rule(1, 4, reclaimablePriceRatio), initialFleet(2, 2, 2, 2), true);
        assertEquals(total, total(plan));
        assertEquals(onDemand, onDemand(plan));
    }

    @ParameterizedTest
    @CsvSource({"2", "3", "6"})
    void planKeepsTheLimitsOfEachFailureDomain(int maximum) {
        FleetPlan plan = FleetPlanner.plan(rule(1, maximum, 0.2), initialFleet(6, 1, 0), true);
        plan.byDomain().forEach((domain, counts) -> {
            assertTrue(counts.total() <= maximum, domain + " " + counts);
            assertTrue(counts.total() >= 1, domain + " " + counts);
        });
    }

    @Test
    void reclaimableEnginesAreSpreadOverFailureDomains() {
        FleetPlan plan = FleetPlanner.plan(rule(1, 9, 0.2), initialFleet(3, 3, 3, 3), true);
        plan.byDomain().values().forEach(counts -> assertEquals(6, counts.reclaimable()));
    }

    private static Map<FailureDomainId, FleetPlan.Counts> present(int... reclaimable) {
        Map<FailureDomainId, FleetPlan.Counts> present = new HashMap<>();
        for (int i = 0; i < reclaimable.length; i++) {
            present.put(FailureDomainId.fromString("d" + i), new FleetPlan.Counts(0, reclaimable[i]));
        }
        return present;
    }

    /** Scenario: successive reclaims while reclaimable engines are unavailable in all failure domains. */
    @ParameterizedTest
    @CsvSource({"4, 4, 4, 4, 0", "0, 4, 4, 4, 0", "0, 4, 4, 0, 4", "0, 2, 4, 0, 6", "0, 0, 0, 0, 12"})
    void onDemandEnginesSubstituteUpToThreeQuartersOfThePlan(int d0, int d1, int d2, int d3, int expectedSubstitutes) {
        CapacityRule rule = rule(1, 4, 0.22);
        // The plan has 16 engines, so that on-demand engines substitute up to 12.
        FleetPlan plan = FleetPlanner.plan(rule, initialFleet(2, 2, 2, 2), true);
        Map<FailureDomainId, FleetPlan.Counts> substitutes = FleetPlanner.substitutes(
                plan, rule, present(d0, d1, d2, d3), plan.byDomain().keySet());
        assertEquals(
                expectedSubstitutes,
                substitutes.values().stream()
                        .mapToInt(FleetPlan.Counts::lasting)
                        .sum());
        assertEquals(
                0,
                substitutes.values().stream()
                        .mapToInt(FleetPlan.Counts::reclaimable)
                        .sum());
    }

    /** Scenario: one failure domain is reclaimed while the others still offer reclaimable engines. */
    @Test
    void reclaimableEnginesOfOtherDomainsSubstituteFirst() {
        CapacityRule rule = rule(1, 4, 0.22);
        FleetPlan plan = FleetPlanner.plan(rule, initialFleet(2, 1, 2, 1), true);
        Map<FailureDomainId, FleetPlan.Counts> substitutes =
                FleetPlanner.substitutes(plan, rule, present(0, 3, 3, 3), Set.of(FailureDomainId.fromString("d0")));
        assertEquals(
                3,
                substitutes.values().stream()
                        .mapToInt(FleetPlan.Counts::reclaimable)
                        .sum());
        assertTrue(substitutes.values().stream().allMatch(counts -> counts.lasting() == 0));
    }

    /** Scenario: the engines of the operator's initial fleet register one after the other. */
    @Test
    void planGrowsWithTheRegisteredEngines() {
        CapacityRule rule = rule(1, 4, 0.22);
        assertEquals(4, FleetPlanner.plan(rule, initialFleet(2, 0, 0, 0), false).total());
        assertEquals(8, FleetPlanner.plan(rule, initialFleet(2, 0, 2, 0), false).total());
        assertEquals(16, FleetPlanner.plan(rule, initialFleet(2, 2, 2, 2), true).total());
    }
}
