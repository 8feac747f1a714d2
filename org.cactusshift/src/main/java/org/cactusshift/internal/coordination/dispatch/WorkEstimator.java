package org.cactusshift.internal.coordination.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.AccountId;

/**
 * Estimates the output length of requests and the processing rate of the fleet from completed requests and load
 * reports.
 *
 * <p>The work of a request is counted in weighted tokens: an output token costs an engine several times as much as a
 * prompt token.
 */
final class WorkEstimator {
    /** The work of an output token, in prompt tokens. */
    static final double DECODE_WEIGHT = 4;

    /** Expected output length before any request of the same class has completed. */
    private static final double INITIAL_OUTPUT_TOKENS = 64;

    /** The weight of a new sample in the moving average of output lengths. */
    private static final double OUTPUT_SAMPLE_WEIGHT = 0.1;
    /** The weight of a new sample in the moving averages of the reported rates. */
    private static final double RATE_SAMPLE_WEIGHT = 0.05;
    /** Factor on the estimated service time that makes it a lower bound. */
    private static final double LOWER_BOUND_FACTOR = 0.8;

    private static final long RATE_WINDOW_MILLIS = 1_000;
    /** The minimum length of a long prompt; output lengths of long and short prompts are averaged separately. */
    private static final long LONG_PROMPT_TOKENS = 1_024;

    private final Map<OutputClass, Double> averageOutputTokensByClass = new HashMap<>();
    private double prefillTokensPerSecond;
    private double decodeTokensPerSecond;
    private double dequeuedTokensPerSecond;
    private double dequeuedTokensInWindow;
    private long windowStartMillis;

    private record OutputClass(AccountId account, boolean longPrompt) {}

    private static OutputClass classOf(DispatchRequest request) {
        return new OutputClass(request.account(), request.promptTokens() >= LONG_PROMPT_TOKENS);
    }

    /** Returns the expected output length: 0 for a plain service, else from 1 to the maximum of the request. */
    long expectedOutputTokens(DispatchRequest request) {
        if (request.maximumOutputTokens() <= 0) {
            return 0;
        }
        double average = averageOutputTokensByClass.getOrDefault(classOf(request), INITIAL_OUTPUT_TOKENS);
        return Math.max(1, Math.min(request.maximumOutputTokens(), Math.round(average)));
    }

    void onCompleted(DispatchRequest request, long actualOutputTokens) {
        averageOutputTokensByClass.merge(
                classOf(request),
                (double) actualOutputTokens,
                (old, seen) -> old + OUTPUT_SAMPLE_WEIGHT * (seen - old));
    }

    void onLoad(EngineLoad load) {
        prefillTokensPerSecond = smooth(prefillTokensPerSecond, load.prefillTokensPerSecond());
        decodeTokensPerSecond = smooth(decodeTokensPerSecond, load.decodeTokensPerSecond());
    }

    private static double smooth(double old, double seen) {
        if (seen <= 0) {
            return old;
        }
        return old <= 0 ? seen : old + RATE_SAMPLE_WEIGHT * (seen - old);
    }

    /** Returns a lower bound of the service time of a request, on an otherwise idle engine. */
    long shortestServiceMillis(long promptTokens, long outputTokens) {
        double prefillMillis = prefillTokensPerSecond > 0 ? promptTokens * 1_000 / prefillTokensPerSecond : 0;
        double decodeMillis = decodeTokensPerSecond > 0 ? outputTokens * 1_000 / decodeTokensPerSecond : 0;
        return (long) (LOWER_BOUND_FACTOR * (prefillMillis + decodeMillis));
    }

    /**
     * Returns the number of engines that a given rate of work, in weighted tokens, keeps busy, or 0 when the rate of an
     * engine is unknown.
     */
    double requiredEngines(double workPerSecond) {
        return prefillTokensPerSecond <= 0 ? 0 : workPerSecond / prefillTokensPerSecond;
    }

    /** Returns the work of a request in weighted tokens, at least 1. */
    double workTokens(long promptTokens, long outputTokens) {
        return 1 + promptTokens + DECODE_WEIGHT * outputTokens;
    }

    /**
     * Records work that left the queue. Only while other requests wait does this rate show the capacity of the fleet.
     */
    void onDequeued(double workTokens, boolean backlogged, long nowMillis) {
        if (!backlogged) {
            dequeuedTokensInWindow = 0;
            windowStartMillis = nowMillis;
            return;
        }
        dequeuedTokensInWindow += workTokens;
        long windowMillis = nowMillis - windowStartMillis;
        if (windowMillis >= RATE_WINDOW_MILLIS) {
            double rate = dequeuedTokensInWindow * 1_000 / windowMillis;
            // 0.3 is the weight of a new sample in the moving average of the rate.
            dequeuedTokensPerSecond = dequeuedTokensPerSecond <= 0
                    ? rate
                    : dequeuedTokensPerSecond + 0.3 * (rate - dequeuedTokensPerSecond);
            dequeuedTokensInWindow = 0;
            windowStartMillis = nowMillis;
        }
    }

    /** Returns the expected queueing delay of some work, or 0 when no rate was measured under load yet. */
    long queueDelayMillis(double workTokens) {
        return dequeuedTokensPerSecond <= 0 ? 0 : (long) (workTokens * 1_000 / dequeuedTokensPerSecond);
    }
}
