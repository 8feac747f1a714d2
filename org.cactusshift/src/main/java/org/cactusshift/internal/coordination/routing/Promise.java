package org.cactusshift.internal.coordination.routing;

/** What this node expects of an upstream for one attempt: output tokens by a deadline. */
public final class Promise {
    private final long deadlineMillis;
    private long remainingTokens;

    private Promise(long deadlineMillis, long remainingTokens) {
        this.deadlineMillis = deadlineMillis;
        this.remainingTokens = remainingTokens;
    }

    /**
     * Returns a promise.
     *
     * @param deadlineMillis when the whole answer is wanted
     * @param remainingTokens output tokens still expected
     * @return the promise
     */
    public static Promise create(long deadlineMillis, long remainingTokens) {
        return new Promise(deadlineMillis, remainingTokens);
    }

    /**
     * Notes tokens that were delivered.
     *
     * @param tokens the tokens
     */
    public void onTokens(long tokens) {
        remainingTokens = Math.max(1, remainingTokens - tokens);
    }

    /**
     * Returns the rate that still keeps the deadline.
     *
     * @param nowMillis the present time
     * @return tokens a second; 0 when the deadline has passed, since no rate keeps it
     */
    double requiredTokensPerSecond(long nowMillis) {
        long leftMillis = deadlineMillis - nowMillis;
        return leftMillis <= 0 ? 0 : remainingTokens * 1_000.0 / leftMillis;
    }
}
