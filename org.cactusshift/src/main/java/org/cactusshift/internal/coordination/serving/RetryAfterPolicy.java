package org.cactusshift.internal.coordination.serving;

import java.util.random.RandomGenerator;

/**
 * Computes when a refused caller should retry: when capacity is expected, with jitter so that refused callers do not
 * retry at the same time.
 */
public final class RetryAfterPolicy {
    /** The minimum delay; a caller that retried sooner would find the queue unchanged. */
    private static final long MINIMUM_DELAY_MILLIS = 80;

    /**
     * The delay is at most the remaining time divided by this, unless that is below the minimum; callers would not
     * respect a longer one.
     */
    private static final int REMAINING_TIME_DIVISOR = 3;

    private RetryAfterPolicy() {}

    /**
     * Returns the delay before the retry of a request that no upstream accepts before a known time.
     *
     * @param waitMillis the time until then
     * @param random the source of the jitter, which adds at most half of the wait
     * @return the delay in milliseconds, not shorter than the wait
     */
    public static long retryAfterWaitMillis(long waitMillis, RandomGenerator random) {
        long baseMillis = Math.max(MINIMUM_DELAY_MILLIS, waitMillis);
        return baseMillis + random.nextLong(baseMillis / 2 + 1);
    }

    /**
     * Returns the delay before the retry.
     *
     * @param excessMillis by how much the expected response time exceeded the acceptable time; 0 or less counts as none
     * @param remainingMillis the time until the deadline of the request
     * @param random the source of the jitter, which at most doubles the delay
     * @return the delay in milliseconds, at least 80
     */
    public static long retryAfterMillis(long excessMillis, long remainingMillis, RandomGenerator random) {
        long baseMillis = Math.max(MINIMUM_DELAY_MILLIS, excessMillis);
        long jitteredMillis = baseMillis + random.nextLong(baseMillis + 1);
        return Math.max(MINIMUM_DELAY_MILLIS, Math.min(jitteredMillis, remainingMillis / REMAINING_TIME_DIVISOR));
    }
}
