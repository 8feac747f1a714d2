package org.cactusshift.standin;

/**
 * The settings of a {@link StandInPlainService}.
 *
 * @param port the port; 0 lets the operating system choose
 * @param workMillis the duration of each call, in milliseconds
 * @param loadLagMillis the lag of load reports, in milliseconds; they show the newest sample of at least this age, or
 *     else the oldest one
 */
public record PlainServiceSettings(int port, long workMillis, long loadLagMillis) {
    private static final long DEFAULT_WORK_MILLIS = 5;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static PlainServiceSettings standard() {
        return new PlainServiceSettings(0, DEFAULT_WORK_MILLIS, 0);
    }

    /**
     * Returns these settings with another duration of calls.
     *
     * @param workMillis the duration of each call, in milliseconds
     * @return the settings
     */
    public PlainServiceSettings withWorkMillis(long workMillis) {
        return new PlainServiceSettings(port, workMillis, loadLagMillis);
    }
}
