package org.cactusshift.internal.coordination.serving;

import java.util.random.RandomGenerator;

/** Says when a refused caller should come back: when there will be room, spread so that callers do not meet again. */
public final class RetryAfterPolicy {
    /** A shorter wait would bring the caller back into the same queue. */
    private static final long SHORTEST_MILLIS = 80;

    /** Callers wait at most this part of their time; a longer wait would not be kept. */
    private static final int LARGEST_PART = 3;

    private RetryAfterPolicy() {}

    /**
     * Returns the time to wait.
     *
     * @param excessMillis how much later than acceptable the request would have been served now
     * @param remainingMillis the time that the caller has left
     * @param random spreads the returns over as long again as the wait
     * @return the time, in milliseconds
     */
    public static long waitMillis(long excessMillis, long remainingMillis, RandomGenerator random) {
        long soonest = Math.max(SHORTEST_MILLIS, excessMillis);
        long spread = soonest + random.nextLong(soonest + 1);
        return Math.max(SHORTEST_MILLIS, Math.min(spread, remainingMillis / LARGEST_PART));
    }
}
