package org.cactusshift.standin;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Polls a condition until it holds or a timeout expires. */
public final class Await {
    private static final long TIMEOUT_MILLIS = 20_000;

    private static final long POLL_MILLIS = 2;

    private Await() {}

    /**
     * Waits until a condition holds; fails if it does not hold within the timeout of 20 s.
     *
     * @param condition the condition
     */
    public static void until(Callable<Boolean> condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        try {
            while (!condition.call()) {
                assertTrue(System.nanoTime() < endNanos, "the condition was not met within 20 s");
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (Exception e) {
            throw new IllegalStateException("the condition threw an exception", e);
        }
    }
}
