package org.cactusshift.internal.coordination.lease;

/**
 * The periods and delays of the duty leases, in milliseconds.
 *
 * @param ttlMillis the time to live requested from the store
 * @param renewalPeriodMillis the period between two renewals
 * @param retryDelayMillis the delay between a failed renewal and the next attempt
 * @param pollPeriodMillis the period between two reads of the duty keys
 * @param delayPerRankMillis the additional delay of each further rank before a node acquires a vacant duty
 * @param clockMarginMillis the clock-drift margin, which the holder subtracts from the time to live
 */
public record LeaseTiming(
        long ttlMillis,
        long renewalPeriodMillis,
        long retryDelayMillis,
        long pollPeriodMillis,
        long delayPerRankMillis,
        long clockMarginMillis) {
    // Also the number of reads of the duty keys per time to live.
    private static final int RENEWALS_PER_TTL = 3;
    private static final int RETRIES_PER_TTL = 12;
    private static final int RANK_DELAYS_PER_TTL = 12;
    // Allows for a drift of one part in fifty between the clocks of two machines. With a larger drift, which is a
    // defect, a holder may act after the store has expired its lease.
    private static final int CLOCK_MARGIN_DIVISOR = 50;

    /**
     * Returns the periods derived from a time to live.
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
                ttlMillis / RANK_DELAYS_PER_TTL,
                Math.max(1, ttlMillis / CLOCK_MARGIN_DIVISOR));
    }
}
