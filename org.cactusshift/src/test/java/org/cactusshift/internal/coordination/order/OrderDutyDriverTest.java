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

    // The longest covered pause is the time to live, less the drift of two clocks and less one step of the simulation,
    // because a pause may last one step longer than drawn.
    private static final long COVERED_PAUSE_MILLIS = DutySimulation.TTL_MILLIS * 9 / 10;
    private static final long UNCOVERED_PAUSE_MILLIS = DutySimulation.TTL_MILLIS * 4;

    @Property(tries = 2_000, seed = "4715", shrinking = ShrinkingMode.OFF)
    void engineThatChecksFencingNeverRevertsToEarlierOrder(@ForAll long seed) {
        OrderSimulation simulation = new OrderSimulation(
                        seed, true, UNCOVERED_PAUSE_MILLIS, OrderSimulation.InjectedFault.NONE)
                .run(STEPS, HEALING_STEPS);
        assertEquals(List.of(), simulation.violations());
    }

    @Property(tries = 2_000, seed = "4716", shrinking = ShrinkingMode.OFF)
    void engineThatIgnoresFencingNeverRevertsWithinCoveredPause(@ForAll long seed) {
        OrderSimulation simulation = new OrderSimulation(
                        seed, false, COVERED_PAUSE_MILLIS, OrderSimulation.InjectedFault.NONE)
                .run(STEPS, HEALING_STEPS);
        assertEquals(List.of(), simulation.violations());
    }

    /**
     * Shows that the residual window exists: after a pause longer than the covered one, an old order is carried out.
     */
    @Example
    void engineThatIgnoresFencingCanRevertBeyondCoveredPause() {
        assertTrue(isDetected(false, UNCOVERED_PAUSE_MILLIS, OrderSimulation.InjectedFault.NONE));
    }

    @ParameterizedTest
    @CsvSource({
        "false,5400,NO_TAKE_OVER_DELAY",
        "false,0,CLEARED_WHILE_IN_FLIGHT",
        "true,0,CLEARED_WHILE_IN_FLIGHT",
        "true,0,SENT_BEFORE_DURABLE"
    })
    void checkerDetectsInjectedFault(boolean checksFencing, long pauseMillis, OrderSimulation.InjectedFault fault) {
        assertTrue(isDetected(checksFencing, pauseMillis, fault));
    }

    @Example
    void ordersReachTheEngine() {
        int started = 0;
        for (long seed = 0; seed < 20; seed++) {
            OrderSimulation simulation = new OrderSimulation(seed, false, 0, OrderSimulation.InjectedFault.NONE);
            started += simulation.run(STEPS, HEALING_STEPS).startedOrderCount();
        }
        assertTrue(started > 20, started + " orders");
    }

    private static boolean isDetected(boolean checksFencing, long pauseMillis, OrderSimulation.InjectedFault fault) {
        for (long seed = 0; seed < SEEDS; seed++) {
            OrderSimulation simulation =
                    new OrderSimulation(seed, checksFencing, pauseMillis, fault).run(STEPS, HEALING_STEPS);
            if (!simulation.violations().isEmpty()) {
                return true;
            }
        }
        return false;
    }
}
