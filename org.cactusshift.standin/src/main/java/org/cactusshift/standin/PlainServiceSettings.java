package org.cactusshift.standin;

/**
 * The settings of a {@link StandInPlainService}.
 *
 * @param port the port; 0 lets the operating system choose
 * @param workMillis how long each call runs, in milliseconds
 * @param loadLagMillis the least age of a load report, in milliseconds
 */
public record PlainServiceSettings(int port, long workMillis, long loadLagMillis) {
    private static final long DEFAULT_WORK_MILLIS = 5;

    /**
     * Returns the usual settings.
     *
     * @return the settings
     */
    public static PlainServiceSettings standard() {
        return new PlainServiceSettings(0, DEFAULT_WORK_MILLIS, 0);
    }

    /**
     * Returns these settings with another length of a call.
     *
     * @param workMillis how long each call runs, in milliseconds
     * @return the settings
     */
    public PlainServiceSettings withWorkMillis(long workMillis) {
        return new PlainServiceSettings(port, workMillis, loadLagMillis);
    }
}
