package org.cactusshift.internal.transport.http;

/** Is asked, about every {@value #SLICE_MILLIS} milliseconds while an upstream is silent, whether to go on waiting. */
@FunctionalInterface
public interface WaitObserver {
    /** The longest time between two questions, in milliseconds. */
    int SLICE_MILLIS = 100;

    /** Waits until the progress timeout. */
    WaitObserver PATIENT = () -> true;

    /**
     * Tells whether the answer is still wanted.
     *
     * @return false to abandon the exchange
     */
    boolean isStillWanted();
}
