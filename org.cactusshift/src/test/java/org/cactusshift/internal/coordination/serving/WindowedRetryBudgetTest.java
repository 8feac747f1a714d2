package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double EXTRA = 56;
    private static final long WINDOW_MILLIS = 10_000;

    @Test
    void nodeThatJustStartedHasOnlyTheShareOfItsRequests() {
        WindowedRetryBudget allowance = WindowedRetryBudget.create(RATIO, EXTRA, WINDOW_MILLIS, 0);
        assertFalse(allowance.tryRetry(8, 1));
        for (int i = 0; i < 10; i++) {
            allowance.onRequest(2);
        }
        assertTrue(allowance.tryRetry(8, 3));
        assertFalse(allowance.tryRetry(8, 3));
    }

    @Test
    void fixedPartIsDividedByTheNodes() {
        WindowedRetryBudget allowance = WindowedRetryBudget.create(RATIO, EXTRA, WINDOW_MILLIS, 0);
        int taken = 0;
        while (allowance.tryRetry(8, WINDOW_MILLIS)) {
            taken++;
        }
        assertEquals(5, taken);
    }

    /** All nodes together keep the site's bound in any window, also when nodes restart and know nothing. */
    @Property(tries = 60, seed = "91", shrinking = ShrinkingMode.OFF)
    void siteKeepsItsBoundInEveryWindow(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int nodes = 2 + random.nextInt(8);
        List<WindowedRetryBudget> allowances = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            allowances.add(WindowedRetryBudget.create(RATIO, EXTRA, WINDOW_MILLIS, -WINDOW_MILLIS));
        }
        ArrayDeque<Long> requests = new ArrayDeque<>();
        ArrayDeque<Long> repeats = new ArrayDeque<>();
        for (long now = 0; now < 40_000; now += 20) {
            int node = random.nextInt(nodes);
            if (random.nextInt(500) == 0) {
                allowances.set(node, WindowedRetryBudget.create(RATIO, EXTRA, WINDOW_MILLIS, now));
            }
            if (random.nextInt(3) > 0) {
                allowances.get(node).onRequest(now);
                requests.addLast(now);
            }
            for (int i = random.nextInt(4); i > 0; i--) {
                if (allowances.get(random.nextInt(nodes)).tryRetry(nodes, now)) {
                    repeats.addLast(now);
                }
            }
            forget(requests, now);
            forget(repeats, now);
            assertTrue(repeats.size() <= RATIO * requests.size() + EXTRA, repeats.size() + " at " + now);
        }
    }

    private static void forget(ArrayDeque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > WINDOW_MILLIS) {
            times.removeFirst();
        }
    }
}
