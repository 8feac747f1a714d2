package org.cactusshift.standin;

/**
 * The sums over reported windows, late counts included.
 *
 * @param promptTokens the prompt tokens
 * @param completionTokens the completion tokens
 * @param requests the requests
 * @param lateTokens the part of the tokens that was reported late
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
