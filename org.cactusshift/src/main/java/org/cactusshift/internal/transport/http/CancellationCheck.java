package org.cactusshift.internal.transport.http;

/**
 * Is asked, at most every {@value #CHECK_INTERVAL_MILLIS} milliseconds while an answer arrives, whether it is still
 * wanted.
 */
@FunctionalInterface
public interface CancellationCheck {
    /** The time between two questions, in milliseconds. */
    int CHECK_INTERVAL_MILLIS = 100;

    /** Waits until the progress timeout. */
    CancellationCheck NEVER_CANCEL = () -> true;

    /**
     * Tells whether the answer is still wanted.
     *
     * @return false to abandon the exchange
     */
    boolean isResponseNeeded();
}
