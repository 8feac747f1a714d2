package org.cactusshift.internal.coordination.serving;

/**
 * What callers may send and how long they may take.
 *
 * @param maximumHeaderBytes the longest head of a request
 * @param maximumBodyBytes the longest body of a request
 * @param headerTimeoutMillis the time for a head, and for a body without progress
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record CallerLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits until a configuration is known; as small as common servers use. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
