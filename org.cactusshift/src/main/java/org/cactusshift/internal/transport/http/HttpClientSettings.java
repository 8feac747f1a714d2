package org.cactusshift.internal.transport.http;

import org.cactusshift.config.TimingConfig;

/**
 * Limits of the connections to upstreams.
 *
 * @param connectTimeoutMillis the longest time to open a connection
 * @param progressTimeoutMillis the longest time without progress before a connection is abandoned
 * @param maximumConnectionsPerUpstream the maximum number of connections in use to one address
 * @param idleExpiryMillis how long an idle connection stays in the pool
 */
public record HttpClientSettings(
        long connectTimeoutMillis,
        long progressTimeoutMillis,
        int maximumConnectionsPerUpstream,
        long idleExpiryMillis) {
    private static final int MAXIMUM_CONNECTIONS_PER_UPSTREAM = 1024;
    private static final long IDLE_EXPIRY_MILLIS = 15_000;

    /**
     * Returns the limits from a site configuration.
     *
     * @param timing the timeouts of the site
     * @return the limits
     */
    public static HttpClientSettings of(TimingConfig timing) {
        return new HttpClientSettings(
                timing.connectTimeoutMillis(),
                timing.upstreamProgressTimeoutMillis(),
                MAXIMUM_CONNECTIONS_PER_UPSTREAM,
                IDLE_EXPIRY_MILLIS);
    }
}
