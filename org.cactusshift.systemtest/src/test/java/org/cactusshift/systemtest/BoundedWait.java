package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Polls real processes, which may not answer for a while, up to the bound of a site. */
final class BoundedWait {
    private static final long POLL_MILLIS = 100;

    private BoundedWait() {}

    /**
     * Waits until a condition holds, and fails when it does not within {@link SystemSite#BOUND_MILLIS}.
     *
     * @param what the condition, for the message
     * @param condition the condition; an I/O error counts as not yet
     * @throws InterruptedException if the wait was interrupted
     */
    static void until(String what, Callable<Boolean> condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SystemSite.BOUND_MILLIS);
        Exception last = null;
        while (System.nanoTime() < endNanos) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException e) {
                last = e;
            } catch (Exception e) {
                throw new IllegalStateException(what + " could not be read", e);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        fail("not within the bound: " + what, last);
    }
}
