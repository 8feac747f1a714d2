package org.cactusshift.standin;

/**
 * The settings of a {@link StandInKeyValueService}.
 *
 * @param port the port; 0 lets the operating system choose
 * @param writesPerSecond the limit of writes; 0 for none
 * @param readsPerSecond the limit of reads; 0 for none
 * @param progressMillis the interval of progress notifications, in milliseconds
 */
public record KeyValueSettings(int port, double writesPerSecond, double readsPerSecond, long progressMillis) {
    private static final long DEFAULT_PROGRESS_MILLIS = 500;

    /**
     * Returns settings without limits of rate.
     *
     * @return the settings
     */
    public static KeyValueSettings unlimited() {
        return new KeyValueSettings(0, 0, 0, DEFAULT_PROGRESS_MILLIS);
    }

    /**
     * Returns these settings with limits of rate.
     *
     * @param writesPerSecond the limit of writes
     * @param readsPerSecond the limit of reads
     * @return the settings
     */
    public KeyValueSettings withRates(double writesPerSecond, double readsPerSecond) {
        return new KeyValueSettings(port, writesPerSecond, readsPerSecond, progressMillis);
    }
}
