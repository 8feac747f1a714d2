package org.cactusshift.standin;

/**
 * The settings of a {@link StandInKeyValueService}.
 *
 * @param port the port; 0 lets the operating system choose
 * @param writesPerSecond the rate limit of writes, per second; 0 for none
 * @param readsPerSecond the rate limit of reads, per second; 0 for none
 * @param progressMillis the interval of progress notifications of watches, in milliseconds
 */
public record KeyValueSettings(int port, double writesPerSecond, double readsPerSecond, long progressMillis) {
    private static final long DEFAULT_PROGRESS_MILLIS = 500;

    /**
     * Returns settings without rate limits.
     *
     * @return the settings
     */
    public static KeyValueSettings unlimited() {
        return new KeyValueSettings(0, 0, 0, DEFAULT_PROGRESS_MILLIS);
    }

    /**
     * Returns these settings with rate limits.
     *
     * @param writesPerSecond the rate limit of writes, per second
     * @param readsPerSecond the rate limit of reads, per second
     * @return the settings
     */
    public KeyValueSettings withRates(double writesPerSecond, double readsPerSecond) {
        return new KeyValueSettings(port, writesPerSecond, readsPerSecond, progressMillis);
    }
}
