package org.cactusshift.internal.state.summary;

/**
 * The running totals of what one node served to a client account on one service in its current incarnation.
 *
 * <p>{@link PeerTotalsTracker#recordTotals} returns the same record with increments and a sum over peers instead.
 *
 * @param prefillTokens the number of prompt tokens sent to upstreams
 * @param decodeTokens the number of output tokens delivered to the caller
 * @param requestsInFlight the number of requests in flight
 */
public record ServedTotals(long prefillTokens, long decodeTokens, int requestsInFlight) {
    /** The totals of an account to which nothing was served. */
    public static final ServedTotals NONE = new ServedTotals(0, 0, 0);
}
