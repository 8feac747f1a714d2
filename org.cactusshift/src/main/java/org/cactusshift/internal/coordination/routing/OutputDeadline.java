package org.cactusshift.internal.coordination.routing;

/** What this node expects of an upstream for one attempt: output tokens by a deadline. */
public final class OutputDeadline {
    private final long deadlineMillis;
    private long remainingTokens;

    private OutputDeadline(long deadlineMillis, long remainingTokens) {
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
    public static OutputDeadline create(long deadlineMillis, long remainingTokens) {
        return new OutputDeadline(deadlineMillis, remainingTokens);
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
     * Returns how long the rest may be held up.
     *
     * @param tokensPerSecond the rate at which the rest is generated, above 0
     * @param nowMillis the present time
     * @return the slack in milliseconds; negative when the deadline can't be kept
     */
    double slackMillis(double tokensPerSecond, long nowMillis) {
        return deadlineMillis - nowMillis - remainingTokens * 1_000 / tokensPerSecond;
    }
}
