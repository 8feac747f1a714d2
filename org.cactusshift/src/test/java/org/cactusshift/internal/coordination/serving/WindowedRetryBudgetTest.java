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
    private static final double FIXED_RETRIES_PER_WINDOW = 56;
    private static final long WINDOW_MILLIS = 10_000;

    @Test
    void nodeGetsNoFixedRetriesInItsFirstWindow() {
        WindowedRetryBudget budget = WindowedRetryBudget.create(RATIO, FIXED_RETRIES_PER_WINDOW, WINDOW_MILLIS, 0);
        assertFalse(budget.tryRetry(8, 1));
        for (int i = 0; i < 10; i++) {
            budget.onRequest(2);
        }
        assertTrue(budget.tryRetry(8, 3));
        assertFalse(budget.tryRetry(8, 3));
    }

    @Test
    void fixedRetriesAreSharedEquallyByTheNodes() {
        WindowedRetryBudget budget = WindowedRetryBudget.create(RATIO, FIXED_RETRIES_PER_WINDOW, WINDOW_MILLIS, 0);
        int allowed = 0;
        while (budget.tryRetry(8, WINDOW_MILLIS)) {
            allowed++;
        }
        // 0.8 * 56 / 8 = 5.6
        assertEquals(5, allowed);
    }

    /**
     * All nodes together stay within the retry budget of the site in every window, even when nodes restart and lose
     * their state.
     */
    @Property(tries = 60, seed = "91", shrinking = ShrinkingMode.OFF)
    void siteStaysWithinItsBudgetInEveryWindow(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int nodes = 2 + random.nextInt(8);
        List<WindowedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            budgets.add(WindowedRetryBudget.create(RATIO, FIXED_RETRIES_PER_WINDOW, WINDOW_MILLIS, -WINDOW_MILLIS));
        }
        ArrayDeque<Long> requests = new ArrayDeque<>();
        ArrayDeque<Long> retries = new ArrayDeque<>();
        for (long nowMillis = 0; nowMillis < 40_000; nowMillis += 20) {
            int node = random.nextInt(nodes);
            if (random.nextInt(500) == 0) {
                budgets.set(
                        node, WindowedRetryBudget.create(RATIO, FIXED_RETRIES_PER_WINDOW, WINDOW_MILLIS, nowMillis));
            }
            if (random.nextInt(3) > 0) {
                budgets.get(node).onRequest(nowMillis);
                requests.addLast(nowMillis);
            }
            for (int i = random.nextInt(4); i > 0; i--) {
                if (budgets.get(random.nextInt(nodes)).tryRetry(nodes, nowMillis)) {
                    retries.addLast(nowMillis);
                }
            }
            removeExpired(requests, nowMillis);
            removeExpired(retries, nowMillis);
            assertTrue(
                    retries.size() <= RATIO * requests.size() + FIXED_RETRIES_PER_WINDOW,
                    retries.size() + " at " + nowMillis);
        }
    }

    private static void removeExpired(ArrayDeque<Long> times, long nowMillis) {
        while (!times.isEmpty() && nowMillis - times.peekFirst() > WINDOW_MILLIS) {
            times.removeFirst();
        }
    }
}
