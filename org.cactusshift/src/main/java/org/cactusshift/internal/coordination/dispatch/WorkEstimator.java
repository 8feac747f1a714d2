package org.cactusshift.internal.coordination.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.AccountId;

/**
 * Estimates, from what was seen, how long requests are and how fast the fleet works.
 *
 * <p>The work of a request is counted in weighted tokens: an output token costs an engine several times what a prompt
 * token costs.
 */
final class WorkEstimator {
    /** The work of an output token, in prompt tokens. */
    static final double DECODE_WEIGHT = 4;

    private static final double FIRST_OUTPUT_TOKENS = 64;
    private static final double OUTPUT_SMOOTHING = 0.1;
    private static final double RATE_SMOOTHING = 0.05;
    private static final double OPTIMISM = 0.8;
    private static final long SPAN_MILLIS = 1_000;
    private static final long LONG_PROMPT_TOKENS = 1_024;

    private final Map<OutputClass, Double> outputTokens = new HashMap<>();
    private double prefillTokensPerSecond;
    private double decodeTokensPerSecond;
    private double servedPerSecond;
    private double servedInSpan;
    private long spanStartMillis;

    private record OutputClass(AccountId account, boolean longPrompt) {}

    private static OutputClass classOf(DispatchRequest request) {
        return new OutputClass(request.account(), request.promptTokens() >= LONG_PROMPT_TOKENS);
    }

    long expectedOutputTokens(DispatchRequest request) {
        if (request.maximumOutputTokens() <= 0) {
            return 0;
        }
        double usual = outputTokens.getOrDefault(classOf(request), FIRST_OUTPUT_TOKENS);
        return Math.max(1, Math.min(request.maximumOutputTokens(), Math.round(usual)));
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

    /** Returns the time that a request takes at least, on an engine that has nothing else to do. */
    long shortestServiceMillis(long promptTokens, long outputTokens) {
        double prefillMillis = prefillTokensPerSecond > 0 ? promptTokens * 1_000 / prefillTokensPerSecond : 0;
        double decodeMillis = decodeTokensPerSecond > 0 ? outputTokens * 1_000 / decodeTokensPerSecond : 0;
        return (long) (OPTIMISM * (prefillMillis + decodeMillis));
    }

    /** Returns the engines that some work a second keeps busy, or 0 when their rate is not known. */
    double requiredEngines(double workPerSecond) {
        return prefillTokensPerSecond <= 0 ? 0 : workPerSecond / prefillTokensPerSecond;
    }

    double cost(long promptTokens, long outputTokens) {
        return 1 + promptTokens + DECODE_WEIGHT * outputTokens;
    }

    /** Notes work that left the queue while other work waited; only then does it show how fast the fleet is. */
    void onDequeued(double costTokens, boolean othersWait, long nowMillis) {
        if (!othersWait) {
            servedInSpan = 0;
            spanStartMillis = nowMillis;
            return;
        }
        servedInSpan += costTokens;
        long spanMillis = nowMillis - spanStartMillis;
        if (spanMillis >= SPAN_MILLIS) {
            double seen = servedInSpan * 1_000 / spanMillis;
            servedPerSecond = servedPerSecond <= 0 ? seen : servedPerSecond + 0.3 * (seen - servedPerSecond);
            servedInSpan = 0;
            spanStartMillis = nowMillis;
        }
    }

    /** Returns the time that the queue takes for some work, or 0 when it has not been seen to be busy. */
    long queueDelayMillis(double costTokens) {
        return servedPerSecond <= 0 ? 0 : (long) (costTokens * 1_000 / servedPerSecond);
    }
}
