package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Waits for conditions of real processes, which may be unreachable for a while, by polling for up to 90 s.
 * {@link Await} is for conditions within the test process.
 */
final class BoundedWait {
    private static final long POLL_MILLIS = 100;

    private BoundedWait() {}

    /**
     * Waits until a condition holds; fails the test when it does not hold within 90 s.
     *
     * @param description what is awaited, for the failure message
     * @param condition the condition; an {@link IOException} counts as not fulfilled yet
     * @throws InterruptedException if the wait was interrupted
     */
    static void until(String description, Callable<Boolean> condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FaultTestSite.CONDITION_TIMEOUT_MILLIS);
        Exception lastError = null;
        while (System.nanoTime() < endNanos) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                lastError = e;
            } catch (Exception e) {
                throw new IllegalStateException("evaluating the condition failed: " + description, e);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        fail("timed out after " + FaultTestSite.CONDITION_TIMEOUT_MILLIS + " ms waiting for " + description, lastError);
    }
}
