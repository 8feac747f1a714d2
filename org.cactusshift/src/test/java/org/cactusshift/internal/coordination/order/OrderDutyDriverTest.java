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
    private static final int MAXIMUM_SEEDS = 1_000;

    // The longest pause of a sender, between the check of its authority and the send, after which the take-over delay
    // still keeps its order from arriving later than one of its successor: the time to live, less the drift of two
    // clocks and less one step of the simulation, because a pause may last one step longer than drawn.
    private static final long MAXIMUM_SAFE_PAUSE_MILLIS = DutySimulation.TTL_MILLIS * 9 / 10;
    private static final long UNSAFE_PAUSE_MILLIS = DutySimulation.TTL_MILLIS * 4;

    @Property(tries = 2_000, seed = "4715", shrinking = ShrinkingMode.OFF)
    void engineThatChecksFencingNeverRevertsToEarlierOrder(@ForAll long seed) {
        OrderSimulation simulation = new OrderSimulation(
                        seed, true, UNSAFE_PAUSE_MILLIS, OrderSimulation.InjectedFault.NONE)
                .run(STEPS, HEALING_STEPS);
        assertEquals(List.of(), simulation.violations());
    }

    @Property(tries = 2_000, seed = "4716", shrinking = ShrinkingMode.OFF)
    void engineThatIgnoresFencingNeverRevertsAfterSafePause(@ForAll long seed) {
        OrderSimulation simulation = new OrderSimulation(
                        seed, false, MAXIMUM_SAFE_PAUSE_MILLIS, OrderSimulation.InjectedFault.NONE)
                .run(STEPS, HEALING_STEPS);
        assertEquals(List.of(), simulation.violations());
    }

    /**
     * Shows that the take-over delay does not cover every pause: after a longer one, an old order is carried out.
     */
    @Example
    void engineThatIgnoresFencingCanRevertAfterUnsafePause() {
        assertTrue(hasViolationForSomeSeed(false, UNSAFE_PAUSE_MILLIS, OrderSimulation.InjectedFault.NONE));
    }

    // The pause of 5400 ms is the maximum safe one.
    @ParameterizedTest
    @CsvSource({
        "false,5400,NO_TAKE_OVER_DELAY",
        "false,0,CLEARED_WHILE_IN_FLIGHT",
        "true,0,CLEARED_WHILE_IN_FLIGHT",
        "true,0,SENT_BEFORE_DURABLE"
    })
    void checkerDetectsInjectedFault(boolean checksFencing, long pauseMillis, OrderSimulation.InjectedFault fault) {
        assertTrue(hasViolationForSomeSeed(checksFencing, pauseMillis, fault));
    }

    /** Guards against a simulation that checks nothing because it hardly starts an order. */
    @Example
    void simulationStartsOrders() {
        int started = 0;
        for (long seed = 0; seed < 20; seed++) {
            OrderSimulation simulation = new OrderSimulation(seed, false, 0, OrderSimulation.InjectedFault.NONE);
            started += simulation.run(STEPS, HEALING_STEPS).startedOrderCount();
        }
        assertTrue(started > 20, started + " orders");
    }

    private static boolean hasViolationForSomeSeed(
            boolean checksFencing, long pauseMillis, OrderSimulation.InjectedFault fault) {
        for (long seed = 0; seed < MAXIMUM_SEEDS; seed++) {
            OrderSimulation simulation =
                    new OrderSimulation(seed, checksFencing, pauseMillis, fault).run(STEPS, HEALING_STEPS);
            if (!simulation.violations().isEmpty()) {
                return true;
            }
        }
        return false;
    }
}
