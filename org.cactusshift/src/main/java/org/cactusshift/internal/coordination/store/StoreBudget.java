package org.cactusshift.internal.coordination.store;

/**
 * The rates at which one node may call the key-value store.
 *
 * @param writesPerSecond the rate of writes, lease calls included
 * @param readsPerSecond the rate of reads and of openings of watches
 * @param burstSeconds how many seconds of calls at the full rate may be accumulated for a burst
 */
public record StoreBudget(double writesPerSecond, double readsPerSecond, double burstSeconds) {
    private static final double DEFAULT_BURST_SECONDS = 2;

    /** Checks that all values are positive. */
    public StoreBudget {
        if (!(writesPerSecond > 0) || !(readsPerSecond > 0) || !(burstSeconds > 0)) {
            throw new IllegalArgumentException(
                    "store budget: writes per second, reads per second and burst seconds must be positive");
        }
    }

    /**
     * Returns a budget with the default burst.
     *
     * @param writesPerSecond the rate of writes, lease calls included
     * @param readsPerSecond the rate of reads and of openings of watches
     * @return the budget
     */
    public static StoreBudget of(double writesPerSecond, double readsPerSecond) {
        return new StoreBudget(writesPerSecond, readsPerSecond, DEFAULT_BURST_SECONDS);
    }
}
