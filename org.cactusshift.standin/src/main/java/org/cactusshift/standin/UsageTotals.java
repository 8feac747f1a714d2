package org.cactusshift.standin;

/**
 * The totals over reported usage windows, including late counts.
 *
 * @param promptTokens the prompt tokens
 * @param completionTokens the completion tokens
 * @param requests the requests
 * @param lateTokens the tokens that were reported late, which the token counts include
 */
public record UsageTotals(long promptTokens, long completionTokens, long requests, long lateTokens) {
    static final UsageTotals ZERO = new UsageTotals(0, 0, 0, 0);

    UsageTotals plus(UsageTotals other) {
        return new UsageTotals(
                promptTokens + other.promptTokens,
                completionTokens + other.completionTokens,
                requests + other.requests,
                lateTokens + other.lateTokens);
    }
}
