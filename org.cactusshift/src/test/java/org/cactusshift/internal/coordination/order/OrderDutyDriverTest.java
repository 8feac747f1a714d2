package org.cactusshift.internal.coordination.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cactusshift.internal.coordination.lease.DutySimulation;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OrderDutyDriverTest {
    private static final int STEPS = 200;
    private static final int HEALING_STEPS = 250;
    private static final int SEEDS = 1_000;

    // Covered is a time to live, less the drift of two clocks and less one step of the simulation, by which a pause may
    // last longer.
    private static final long COVERED_GAP_MILLIS = DutySimulation.TTL_MILLIS * 9 / 10;
    private static final long UNCOVERED_GAP_MILLIS = DutySimulation.TTL_MILLIS * 4;

    @Property(tries = 2_000, seed = "4715", shrinking = ShrinkingMode.OFF)
    void anEngineThatChecksFencingNeverGoesBack(@ForAll long seed) {
        OrderSimulation simulation = new OrderSimulation(
                        seed, true, UNCOVERED_GAP_MILLIS, OrderSimulation.InjectedFault.NONE)
                .run(STEPS, HEALING_STEPS);
        assertEquals(List.of(), simulation.violations());
    }

    @Property(tries = 2_000, seed = "4716", shrinking = ShrinkingMode.OFF)
    void anEngineThatIgnoresFencingNeverGoesBackWithinTheStatedGap(@ForAll long seed) {
        OrderSimulation simulation = new OrderSimulation(
                        seed, false, COVERED_GAP_MILLIS, OrderSimulation.InjectedFault.NONE)
                .run(STEPS, HEALING_STEPS);
        assertEquals(List.of(), simulation.violations());
    }

    /** The residual window is real: a longer pause than the stated one gets an old order through. */
    @Example
    void anEngineThatIgnoresFencingCanGoBackBeyondTheStatedGap() {
        assertTrue(isCaught(false, UNCOVERED_GAP_MILLIS, OrderSimulation.InjectedFault.NONE));
    }

    @ParameterizedTest
    @CsvSource({
        "false,5400,NO_QUIET_TIME",
        "false,0,CLEARED_WHILE_IN_FLIGHT",
        "true,0,CLEARED_WHILE_IN_FLIGHT",
        "true,0,SENT_BEFORE_DURABLE"
    })
    void checkerCatches(boolean checksFencing, long gapMillis, OrderSimulation.InjectedFault plant) {
        assertTrue(isCaught(checksFencing, gapMillis, plant));
    }

    @Example
    void ordersReachTheEngine() {
        int begun = 0;
        for (long seed = 0; seed < 20; seed++) {
            OrderSimulation simulation = new OrderSimulation(seed, false, 0, OrderSimulation.InjectedFault.NONE);
            begun += simulation.run(STEPS, HEALING_STEPS).startedOrderCount();
        }
        assertTrue(begun > 20, begun + " orders");
    }

    private static boolean isCaught(boolean checksFencing, long gapMillis, OrderSimulation.InjectedFault plant) {
        for (long seed = 0; seed < SEEDS; seed++) {
            OrderSimulation simulation =
                    new OrderSimulation(seed, checksFencing, gapMillis, plant).run(STEPS, HEALING_STEPS);
            if (!simulation.violations().isEmpty()) {
                return true;
            }
        }
        return false;
    }
}
