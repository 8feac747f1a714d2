package org.cactusshift.replay;

/**
 * A client account of a trace.
 *
 * @param id the id of the client account
 * @param weight its weight in fair queueing
 * @param tokensPerSecond its rate limit, in tokens per second; 0 for none
 * @param maximumConcurrentRequests its maximum number of open requests; 0 for no limit
 * @param flooding whether it deliberately sends more than its share; it is then excluded from the worst-account measure
 */
public record TraceAccount(
        String id, double weight, long tokensPerSecond, int maximumConcurrentRequests, boolean flooding) {}
