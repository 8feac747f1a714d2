package org.cactusshift.internal.coordination.routing;

/** The expected remaining output of one attempt, and the deadline for it. Mutable. */
public final class OutputDeadline {
    private final long deadlineMillis;
    private long remainingTokens;

    private OutputDeadline(long deadlineMillis, long remainingTokens) {
        this.deadlineMillis = deadlineMillis;
        this.remainingTokens = remainingTokens;
    }

    /**
     * Returns the deadline of an attempt.
     *
     * @param deadlineMillis the deadline for the end of the response
     * @param remainingTokens the output tokens that are still expected
     * @return the deadline
     */
    public static OutputDeadline create(long deadlineMillis, long remainingTokens) {
        return new OutputDeadline(deadlineMillis, remainingTokens);
    }

    /**
     * Records delivered output tokens.
     *
     * @param tokens the number of tokens
     */
    public void onTokens(long tokens) {
        // An attempt that exceeds its expected output still needs time for at least one token.
        remainingTokens = Math.max(1, remainingTokens - tokens);
    }

    /**
     * Returns how long the remaining output may be delayed without missing the deadline.
     *
     * @param tokensPerSecond the rate at which the remaining output is generated, above 0
     * @param nowMillis the current time
     * @return the slack in milliseconds; negative when the deadline can't be met
     */
    double slackMillis(double tokensPerSecond, long nowMillis) {
        return deadlineMillis - nowMillis - remainingTokens * 1_000 / tokensPerSecond;
    }
}
