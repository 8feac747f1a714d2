package org.cactusshift.internal.state.summary;

/**
 * What an account received at one node since the node's start.
 *
 * @param prefillTokens prompt tokens sent to upstreams
 * @param decodeTokens output tokens delivered
 * @param requestsInFlight requests open now
 */
public record ServedTotals(long prefillTokens, long decodeTokens, int requestsInFlight) {
    /** Nothing received. */
    public static final ServedTotals NONE = new ServedTotals(0, 0, 0);
}
