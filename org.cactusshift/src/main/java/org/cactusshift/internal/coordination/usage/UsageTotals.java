package org.cactusshift.internal.coordination.usage;

/**
 * Sums of usage.
 *
 * @param promptTokens prompt tokens
 * @param completionTokens output tokens
 * @param requests requests, in time or late
 * @param latePromptTokens prompt tokens that belong to an earlier window, already sealed
 * @param lateCompletionTokens output tokens that belong to an earlier window, already sealed
 */
public record UsageTotals(
        long promptTokens, long completionTokens, long requests, long latePromptTokens, long lateCompletionTokens) {
    /** Nothing. */
    public static final UsageTotals ZERO = new UsageTotals(0, 0, 0, 0, 0);

    /**
     * Returns sums of usage counted in its own window.
     *
     * @param promptTokens prompt tokens
     * @param completionTokens output tokens
     * @param requests requests
     * @return the sums
     */
    public static UsageTotals onTime(long promptTokens, long completionTokens, long requests) {
        return new UsageTotals(promptTokens, completionTokens, requests, 0, 0);
    }

    /**
     * Returns the same usage as an adjustment of an earlier window.
     *
     * @return the sums
     */
    public UsageTotals asLate() {
        return new UsageTotals(
                0, 0, requests, promptTokens + latePromptTokens, completionTokens + lateCompletionTokens);
    }

    /**
     * Adds other sums.
     *
     * @param other the other sums
     * @return the sums of both
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
