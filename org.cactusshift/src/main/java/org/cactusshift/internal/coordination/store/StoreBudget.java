package org.cactusshift.internal.coordination.store;

/**
 * The rates at which one node may call the key-value store.
 *
 * @param writesPerSecond the rate of writes, lease calls included
 * @param readsPerSecond the rate of reads and of openings of watches
 * @param burstSeconds the burst, as the number of seconds whose calls may be accumulated
 */
public record StoreBudget(double writesPerSecond, double readsPerSecond, double burstSeconds) {
    private static final double DEFAULT_BURST_SECONDS = 2;

    /** Checks that all values are positive. */
    public StoreBudget {
        if (!(writesPerSecond > 0) || !(readsPerSecond > 0) || !(burstSeconds > 0)) {
            throw new IllegalArgumentException("store budget must be positive");
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
