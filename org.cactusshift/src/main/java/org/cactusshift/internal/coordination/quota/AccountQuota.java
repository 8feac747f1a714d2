package org.cactusshift.internal.coordination.quota;

import java.util.OptionalLong;

/**
 * The limit of a client account on what its requests count, over all nodes together.
 *
 * @param ratePerSecond the sustained rate, positive
 * @param burst the size of the token bucket; 0 when the account may not exceed its rate
 * @param unit what is counted
 * @param plainTokens what a request without token counts counts if tokens are counted
 */
public record AccountQuota(double ratePerSecond, double burst, Unit unit, long plainTokens) {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** What a quota counts. */
    public enum Unit {
        /** Each request counts 1. */
        REQUESTS,
        /** Each request counts its prompt tokens and its maximum output tokens. */
        TOKENS
    }

    /** Checks the numbers. */
    public AccountQuota {
        if (!(ratePerSecond > 0) || !(burst >= 0) || plainTokens < 0) {
            throw new IllegalArgumentException("a quota must have a positive rate and no negative number");
        }
    }

    /**
     * Returns the largest cost of a request that can be within the quota: what a whole window allows. A request above
     * it would leave a debt that refuses the account's other requests for longer than a window.
     *
     * @return the cost, at least 1
     */
    public double maximumCost() {
        return Math.max(1, ratePerSecond * QuotaSite.WINDOW_MILLIS / MILLIS_PER_SECOND + burst);
    }

    /**
     * Returns what a request counts.
     *
     * @param statedTokens the prompt and maximum output tokens that the request states, empty when it states none
     * @return the cost
     */
    public long cost(OptionalLong statedTokens) {
        return unit == Unit.REQUESTS ? 1 : statedTokens.orElse(plainTokens);
    }
}
