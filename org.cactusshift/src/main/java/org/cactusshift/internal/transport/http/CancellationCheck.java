package org.cactusshift.internal.transport.http;

/**
 * Decides whether a pending exchange is abandoned. Polled at most every {@value #CHECK_INTERVAL_MILLIS} milliseconds
 * while a response is pending.
 */
@FunctionalInterface
public interface CancellationCheck {
    /** The shortest time between two checks, in milliseconds. */
    int CHECK_INTERVAL_MILLIS = 100;

    /** Never abandons the exchange, so that only the progress timeout ends it. */
    CancellationCheck NEVER_CANCEL = () -> true;

    /**
     * Returns whether the response is still needed.
     *
     * @return false if the exchange is to be abandoned
     */
    boolean isResponseNeeded();
}
