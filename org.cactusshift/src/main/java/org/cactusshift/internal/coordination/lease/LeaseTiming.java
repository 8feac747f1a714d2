package org.cactusshift.internal.coordination.lease;

/**
 * The periods of the duty leases, in milliseconds.
 *
 * @param ttlMillis the time to live asked of the store
 * @param renewalPeriodMillis the time between two renewals
 * @param retryDelayMillis the time from a failed renewal to the next
 * @param pollPeriodMillis the time between two reads of the duty keys
 * @param delayPerRankMillis how much longer each next node in rank leaves a duty without holder before it takes it
 * @param clockMarginMillis what the holder takes off the time to live, for clocks that run at different rates
 */
public record LeaseTiming(
        long ttlMillis,
        long renewalPeriodMillis,
        long retryDelayMillis,
        long pollPeriodMillis,
        long delayPerRankMillis,
        long clockMarginMillis) {
    private static final int RENEWALS_PER_TTL = 3;
    private static final int RETRIES_PER_TTL = 12;
    private static final int RANK_STEPS_PER_TTL = 12;
    // Clocks of two machines that drift apart by more than one part in fifty are out of order.
    private static final int MARGIN_PART = 50;

    /**
     * Returns the periods that belong to a time to live.
     *
     * @param ttlMillis the time to live of a duty lease
     * @return the periods
     */
    public static LeaseTiming ofTtl(long ttlMillis) {
        return new LeaseTiming(
                ttlMillis,
                ttlMillis / RENEWALS_PER_TTL,
                ttlMillis / RETRIES_PER_TTL,
                ttlMillis / RENEWALS_PER_TTL,
                ttlMillis / RANK_STEPS_PER_TTL,
                Math.max(1, ttlMillis / MARGIN_PART));
    }
}
