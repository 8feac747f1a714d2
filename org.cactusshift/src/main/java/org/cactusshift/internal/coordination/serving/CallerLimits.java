package org.cactusshift.internal.coordination.serving;

/**
 * Size limits for the requests of callers and time-outs for their connections.
 *
 * @param maximumHeaderBytes the maximum length of the header section of a request, in bytes
 * @param maximumBodyBytes the maximum length of the body of a request, in bytes
 * @param headerTimeoutMillis the maximum time to receive the header section, and the maximum time without progress
 *     while the body is received
 * @param idleTimeoutMillis how long a connection may stay open without a request
 */
public record CallerLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration is active; as small as the defaults of common HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
