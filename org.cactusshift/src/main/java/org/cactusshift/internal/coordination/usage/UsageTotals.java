package org.cactusshift.internal.coordination.usage;

/**
 * Total usage of a usage key in one window.
 *
 * @param promptTokens the prompt tokens of this window
 * @param completionTokens the output tokens of this window
 * @param requests the requests, on time or late
 * @param latePromptTokens the prompt tokens of an earlier window that was already sealed
 * @param lateCompletionTokens the output tokens of an earlier window that was already sealed
 */
public record UsageTotals(
        long promptTokens, long completionTokens, long requests, long latePromptTokens, long lateCompletionTokens) {
    /** No usage. */
    public static final UsageTotals ZERO = new UsageTotals(0, 0, 0, 0, 0);

    /**
     * Returns totals of usage that is counted in its own window.
     *
     * @param promptTokens prompt tokens
     * @param completionTokens output tokens
     * @param requests requests
     * @return the totals
     */
    public static UsageTotals onTime(long promptTokens, long completionTokens, long requests) {
        return new UsageTotals(promptTokens, completionTokens, requests, 0, 0);
    }

    /**
     * Returns the same usage as late usage of an earlier window.
     *
     * @return the totals
     */
    public UsageTotals asLate() {
        return new UsageTotals(
                0, 0, requests, promptTokens + latePromptTokens, completionTokens + lateCompletionTokens);
    }

    /**
     * Returns the sum of these totals and others.
     *
     * @param other the other totals
     * @return the totals of both
     */
    public UsageTotals plus(UsageTotals other) {
        return new UsageTotals(
                promptTokens + other.promptTokens,
                completionTokens + other.completionTokens,
                requests + other.requests,
                latePromptTokens + other.latePromptTokens,
                lateCompletionTokens + other.lateCompletionTokens);
    }
}
