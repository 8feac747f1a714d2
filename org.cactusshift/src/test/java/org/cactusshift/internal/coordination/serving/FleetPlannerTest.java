package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
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
    @CsvSource({"0.22, 16, 4", "0.6, 16, 4", "0.61, 8, 8", "0, 8, 8"})
    void reclaimableEnginesReplaceLastingOnesOnlyWhereTheyAreCheap(double share, int total, int lasting) {
        FleetPlan plan = FleetPlanner.plan(rule(1, 4, share), started(2, 2, 2, 2));
        assertEquals(total, total(plan));
        assertEquals(lasting, lasting(plan));
    }

    @ParameterizedTest
    @CsvSource({"2", "3", "6"})
    void noDomainGoesBeyondItsLimits(int maximum) {
        FleetPlan plan = FleetPlanner.plan(rule(1, maximum, 0.2), started(6, 1, 0));
        plan.byDomain().forEach((domain, counts) -> {
            assertTrue(counts.total() <= maximum, domain + " " + counts);
            assertTrue(counts.lasting() >= 1, domain + " " + counts);
        });
    }

    @Test
    void reclaimableEnginesAreSpread() {
        FleetPlan plan = FleetPlanner.plan(rule(1, 9, 0.2), started(3, 3, 3, 3));
        plan.byDomain().values().forEach(counts -> assertEquals(4, counts.reclaimable()));
    }
}
