package org.cactusshift.internal.state.summary;

/**
 * What an account received at one node since the node's start.
 *
 * @param prefillTokens prompt tokens sent to upstreams
 * @param decodeTokens output tokens delivered
 * @param requestsInFlight requests open now
 */
public record ServiceTotals(long prefillTokens, long decodeTokens, int requestsInFlight) {
    /** Nothing received. */
    public static final ServiceTotals NONE = new ServiceTotals(0, 0, 0);
}
