package org.cactusshift.internal.coordination.store;

/**
 * The rates that one node may use of the key-value service.
 *
 * @param writesPerSecond the writes, lease calls included
 * @param readsPerSecond the reads and the openings of watches
 * @param burstSeconds how many seconds' worth may be saved up
 */
public record StoreBudget(double writesPerSecond, double readsPerSecond, double burstSeconds) {
    private static final double DEFAULT_BURST_SECONDS = 2;

    /** Checks that there is something to use. */
    public StoreBudget {
        if (!(writesPerSecond > 0) || !(readsPerSecond > 0) || !(burstSeconds > 0)) {
            throw new IllegalArgumentException("a budget is not positive");
        }
    }

    /**
     * Returns a budget with the usual burst.
     *
     * @param writesPerSecond the writes, lease calls included
     * @param readsPerSecond the reads and the openings of watches
     * @return the budget
     */
    public static StoreBudget of(double writesPerSecond, double readsPerSecond) {
        return new StoreBudget(writesPerSecond, readsPerSecond, DEFAULT_BURST_SECONDS);
    }
}
