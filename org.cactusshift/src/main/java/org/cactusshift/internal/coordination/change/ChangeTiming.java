package org.cactusshift.internal.coordination.change;

/**
 * The timeouts and delays of planned changes, in milliseconds.
 *
 * @param drainTimeoutMillis the maximum duration of a drain, after which the change is postponed
 * @param roundValidityMillis the time for which the responses of a drain round count, in which every node is asked to
 *     drain the engine; shorter than the time for which a node excludes the engine from new requests ({@code
 *     DRAIN_EXPIRY_MILLIS} of {@code UpstreamDrains})
 * @param yieldDelayMillis the delay of a change that yielded to the change of another engine
 * @param maximumBackoffMillis the maximum delay before a change is tried again
 */
public record ChangeTiming(
        long drainTimeoutMillis, long roundValidityMillis, long yieldDelayMillis, long maximumBackoffMillis) {
    private static final long ROUND_VALIDITY_MILLIS = 2_000;
    private static final long YIELD_DELAY_MILLIS = 1_000;
    private static final long MAXIMUM_BACKOFF_MILLIS = 600_000;

    /**
     * Returns the standard timing for a drain timeout.
     *
     * @param drainTimeoutMillis the maximum duration of a drain
     * @return the timing
     */
    public static ChangeTiming of(long drainTimeoutMillis) {
        return new ChangeTiming(drainTimeoutMillis, ROUND_VALIDITY_MILLIS, YIELD_DELAY_MILLIS, MAXIMUM_BACKOFF_MILLIS);
    }
}
