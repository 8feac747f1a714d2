package org.cactusshift.replay;

/**
 * A client account of a trace.
 *
 * @param id the client account
 * @param weight its share
 * @param tokensPerSecond its limit; 0 for none
 * @param maximumConcurrentRequests its limit on open requests; 0 for none
 * @param flooding whether it sends more than its share on purpose; such an account is left out of the worst-served one
 */
public record TraceAccount(
        String id, double weight, long tokensPerSecond, int maximumConcurrentRequests, boolean flooding) {}
