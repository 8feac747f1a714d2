package org.cactusshift.standin;

/**
 * The usage of a client account over all usage windows that were reported to a {@link StandInUsageService}.
 *
 * @param promptTokens the number of prompt tokens, late ones included
 * @param completionTokens the number of completion tokens, late ones included
 * @param requests the number of requests
 * @param lateTokens the number of late tokens in both token counts
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
