package org.cactusshift.internal.coordination.serving;

/**
 * Limits on the size and the timing of the requests that callers send.
 *
 * @param maximumHeaderBytes the maximum length of the header section of a request
 * @param maximumBodyBytes the maximum length of the body of a request
 * @param headerTimeoutMillis the time allowed for the header section, and for a body to arrive without progress
 * @param idleTimeoutMillis how long a connection may stay open without a request
 */
public record CallerLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration is active; as small as the defaults of common servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
