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

    private static final double OUTPUT_SMOOTHING = 0.1;
    private static final double RATE_SMOOTHING = 0.05;
    /** Factor on the estimated service time that makes it a lower bound. */
    private static final double LOWER_BOUND_FACTOR = 0.8;

    private static final long RATE_WINDOW_MILLIS = 1_000;
    private static final long LONG_PROMPT_TOKENS = 1_024;

    private final Map<OutputClass, Double> outputTokens = new HashMap<>();
    private double prefillTokensPerSecond;
    private double decodeTokensPerSecond;
    private double dequeuedPerSecond;
    private double dequeuedInWindow;
    private long windowStartMillis;

    private record OutputClass(AccountId account, boolean longPrompt) {}

    private static OutputClass classOf(DispatchRequest request) {
        return new OutputClass(request.account(), request.promptTokens() >= LONG_PROMPT_TOKENS);
    }

    long expectedOutputTokens(DispatchRequest request) {
        if (request.maximumOutputTokens() <= 0) {
            return 0;
        }
        double average = outputTokens.getOrDefault(classOf(request), INITIAL_OUTPUT_TOKENS);
        return Math.max(1, Math.min(request.maximumOutputTokens(), Math.round(average)));
    }

    void onCompleted(DispatchRequest request, long actualOutputTokens) {
        outputTokens.merge(
                classOf(request), (double) actualOutputTokens, (old, seen) -> old + OUTPUT_SMOOTHING * (seen - old));
    }

    void onLoad(EngineLoad load) {
        prefillTokensPerSecond = smooth(prefillTokensPerSecond, load.prefillTokensPerSecond());
        decodeTokensPerSecond = smooth(decodeTokensPerSecond, load.decodeTokensPerSecond());
    }

    private static double smooth(double old, double seen) {
        if (seen <= 0) {
            return old;
        }
        return old <= 0 ? seen : old + RATE_SMOOTHING * (seen - old);
    }

    /** Returns a lower bound of the service time of a request, on an otherwise idle engine. */
    long shortestServiceMillis(long promptTokens, long outputTokens) {
        double prefillMillis = prefillTokensPerSecond > 0 ? promptTokens * 1_000 / prefillTokensPerSecond : 0;
        double decodeMillis = decodeTokensPerSecond > 0 ? outputTokens * 1_000 / decodeTokensPerSecond : 0;
        return (long) (LOWER_BOUND_FACTOR * (prefillMillis + decodeMillis));
    }

    /**
     * Returns the number of engines that a given rate of work keeps busy, or 0 when the rate of an engine is unknown.
     */
    double requiredEngines(double workPerSecond) {
        return prefillTokensPerSecond <= 0 ? 0 : workPerSecond / prefillTokensPerSecond;
    }

    double cost(long promptTokens, long outputTokens) {
        return 1 + promptTokens + DECODE_WEIGHT * outputTokens;
    }

    /**
     * Records work that left the queue. Only while other requests wait does this rate show the capacity of the fleet.
     */
    void onDequeued(double costTokens, boolean backlogged, long nowMillis) {
        if (!backlogged) {
            dequeuedInWindow = 0;
            windowStartMillis = nowMillis;
            return;
        }
        dequeuedInWindow += costTokens;
        long windowMillis = nowMillis - windowStartMillis;
        if (windowMillis >= RATE_WINDOW_MILLIS) {
            double rate = dequeuedInWindow * 1_000 / windowMillis;
            dequeuedPerSecond = dequeuedPerSecond <= 0 ? rate : dequeuedPerSecond + 0.3 * (rate - dequeuedPerSecond);
            dequeuedInWindow = 0;
            windowStartMillis = nowMillis;
        }
    }

    /** Returns the expected queueing delay of some work, or 0 when no rate was measured under load yet. */
    long queueDelayMillis(double costTokens) {
        return dequeuedPerSecond <= 0 ? 0 : (long) (costTokens * 1_000 / dequeuedPerSecond);
    }
}
