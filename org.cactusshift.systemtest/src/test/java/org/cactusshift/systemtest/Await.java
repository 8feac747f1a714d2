package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Waits for conditions within the test process by polling, for up to 20 s. {@link BoundedWait} waits longer and
 * takes an {@link java.io.IOException} for a condition that does not hold yet.
 */
public final class Await {
    private static final long TIMEOUT_MILLIS = 20_000;

    private static final long POLL_MILLIS = 2;

    private Await() {}

    /**
     * Waits until a condition holds; fails the test when it does not hold within 20 s.
     *
     * @param condition the condition
     */
    public static void until(Callable<Boolean> condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        try {
            while (!condition.call()) {
                assertTrue(System.nanoTime() < endNanos, "the condition did not hold within " + TIMEOUT_MILLIS + " ms");
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (Exception e) {
            throw new IllegalStateException("waiting for the condition failed", e);
        }
    }
}
