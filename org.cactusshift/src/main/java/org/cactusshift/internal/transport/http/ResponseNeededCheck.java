package org.cactusshift.internal.transport.http;

/**
 * Decides whether a pending exchange is abandoned. Polled at most every {@value #CHECK_INTERVAL_MILLIS} milliseconds
 * while a response is pending.
 */
@FunctionalInterface
public interface ResponseNeededCheck {
    /** The shortest time between two checks, in milliseconds. */
    int CHECK_INTERVAL_MILLIS = 100;

    /** States that the response is always needed, so that only the progress timeout ends the exchange. */
    ResponseNeededCheck ALWAYS_NEEDED = () -> true;

    /**
     * Returns whether the response is still needed.
     *
     * @return false if the exchange is to be abandoned
     */
    boolean isResponseNeeded();

    /**
     * Returns whether an exchange is abandoned that has made no progress for the progress timeout. Polled like {@link
     * #isResponseNeeded} while the silence lasts.
     *
     * @return false if the exchange goes on
     */
    default boolean isAbandonedWhenSilent() {
        return true;
    }
}
