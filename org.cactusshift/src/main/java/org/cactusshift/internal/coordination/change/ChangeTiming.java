package org.cactusshift.internal.coordination.change;

/**
 * The periods of planned changes, in milliseconds.
 *
 * @param drainTimeoutMillis how long a drain may last before the change is put off
 * @param roundValidityMillis how long a round of answers counts; less than the time for which a node keeps work away
 * @param yieldDelayMillis how long a change waits that gave way to the change of another engine
 * @param maximumBackoffMillis the longest wait before a change is tried again
 */
public record ChangeTiming(
        long drainTimeoutMillis, long roundValidityMillis, long yieldDelayMillis, long maximumBackoffMillis) {
    private static final long ROUND_VALID_MILLIS = 2_000;
    private static final long YIELD_MILLIS = 1_000;
    private static final long MAXIMUM_BACKOFF_MILLIS = 600_000;

    /**
     * Returns the periods that belong to a limit of drains.
     *
     * @param drainTimeoutMillis how long a drain may last
     * @return the periods
     */
    public static ChangeTiming of(long drainTimeoutMillis) {
        return new ChangeTiming(drainTimeoutMillis, ROUND_VALID_MILLIS, YIELD_MILLIS, MAXIMUM_BACKOFF_MILLIS);
    }
}
