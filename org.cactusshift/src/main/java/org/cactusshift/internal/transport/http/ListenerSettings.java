package org.cactusshift.internal.transport.http;

import org.cactusshift.config.LimitsConfig;
import org.cactusshift.config.TimingConfig;

/**
 * Limits of one listener.
 *
 * @param maximumHeaderBytes the largest header section, in bytes
 * @param maximumBodyBytes the largest request body, in bytes
 * @param maximumConnections the maximum number of open connections
 * @param headerTimeoutMillis the time within which the headers and the body must have been received
 * @param writeTimeoutMillis the longest time that one write may wait for the caller to read
 * @param keepAliveMillis how long a connection may stay open between two requests
 */
public record ListenerSettings(
        int maximumHeaderBytes,
        int maximumBodyBytes,
        int maximumConnections,
        long headerTimeoutMillis,
        long writeTimeoutMillis,
        long keepAliveMillis) {
    private static final long KEEP_ALIVE_MILLIS = 60_000;

    /**
     * Returns the limits from a site configuration.
     *
     * @param limits the limits of the site
     * @param timing the timeouts of the site
     * @return the limits of a listener for callers
     */
    public static ListenerSettings of(LimitsConfig limits, TimingConfig timing) {
        return new ListenerSettings(
                limits.maximumHeaderBytes(),
                limits.maximumBodyBytes(),
                limits.maximumConnections(),
                timing.headerTimeoutMillis(),
                // A write to a caller has the same time limit as the progress of an upstream.
                timing.upstreamProgressTimeoutMillis(),
                KEEP_ALIVE_MILLIS);
    }
}
