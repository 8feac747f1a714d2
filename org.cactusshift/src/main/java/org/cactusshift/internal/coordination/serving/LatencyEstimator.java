package org.cactusshift.internal.coordination.serving;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.ServiceId;

/**
 * Estimates the time to the first part of a response: a fixed time for each request plus a time for each pending
 * prefill token.
 *
 * <p>The time for a token is updated only by prefills that had hardly any others queued before them: the requests of
 * other nodes are known too late, and counting a queue that is already processed makes an engine look faster than it
 * is.
 *
 * <p>The initial values affect only the first placements; the estimates follow the responses within seconds.
 */
public final class LatencyEstimator {
    /** The weight of a new sample in the exponentially weighted moving averages. */
    private static final double SAMPLE_WEIGHT = 0.05;

    private static final double INITIAL_FIXED_MILLIS = 25;
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.04;

    /**
     * The weight of a prefill that was faster than expected; a slower one may have waited for requests unknown to this
     * node.
     */
    private static final double FASTER_SAMPLE_WEIGHT = 0.2;

    /**
     * Requests with fewer pending tokens than this update the fixed time. Longer prefills with fewer tokens than this
     * queued before them update the time for a token, unless a decode engine does them; other requests update neither.
     */
    private static final long SHORT_PREFILL_TOKENS = 500;

    /** A decode engine prefills between its output tokens, at half the speed of a prefill engine. */
    private static final double DECODE_ENGINE_SLOWDOWN = 2;

    private final Map<ServiceId, Estimate> estimateByService = new HashMap<>();

    private static final class Estimate {
        private final EnumMap<EngineStage, Double> fixedMillisByStage = new EnumMap<>(EngineStage.class);
        private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

        private double fixedMillis(EngineStage stage) {
            return fixedMillisByStage.getOrDefault(stage, INITIAL_FIXED_MILLIS);
        }

        private double millisPerToken(EngineStage stage) {
            return stage == EngineStage.DECODE ? DECODE_ENGINE_SLOWDOWN * millisPerToken : millisPerToken;
        }
    }

    /**
     * Returns the expected time to the first part of a response.
     *
     * @param service the service
     * @param stage the stage whose prefill speed and fixed time apply, {@link EngineStage#ANY} when nothing is
     *     prefilled
     * @param pendingTokens the pending prefill tokens, including those of the request itself
     * @return the time, in milliseconds
     */
    public double firstPartMillis(ServiceId service, EngineStage stage, long pendingTokens) {
        Estimate estimate = estimate(service);
        return estimate.fixedMillis(stage) + estimate.millisPerToken(stage) * pendingTokens;
    }

    /**
     * Updates the estimates with the measured time to the first part of a response.
     *
     * @param service the service
     * @param stage as for {@link #firstPartMillis}
     * @param pendingTokens the pending prefill tokens when the request was sent, including its own
     * @param uncachedTokens the prompt tokens of the request itself that had to be prefilled
     * @param tookMillis the measured time
     */
    public void onFirstResponsePart(
            ServiceId service, EngineStage stage, long pendingTokens, long uncachedTokens, long tookMillis) {
        Estimate estimate = estimate(service);
        if (pendingTokens < SHORT_PREFILL_TOKENS) {
            double sample = Math.max(0, tookMillis - estimate.millisPerToken(stage) * pendingTokens);
            double before = estimate.fixedMillis(stage);
            estimate.fixedMillisByStage.put(stage, before + SAMPLE_WEIGHT * (sample - before));
        } else if (stage == EngineStage.PREFILL
                && uncachedTokens >= SHORT_PREFILL_TOKENS
                && pendingTokens - uncachedTokens < SHORT_PREFILL_TOKENS) {
            double sample = Math.max(0, tookMillis - estimate.fixedMillis(stage)) / pendingTokens;
            double weight = sample < estimate.millisPerToken ? FASTER_SAMPLE_WEIGHT : SAMPLE_WEIGHT;
            estimate.millisPerToken += weight * (sample - estimate.millisPerToken);
        }
    }

    /** Returns whether the prefill of a request is too short to tell the time for a token. */
    static boolean isShort(long uncachedTokens) {
        return uncachedTokens < SHORT_PREFILL_TOKENS;
    }

    private Estimate estimate(ServiceId service) {
        return estimateByService.computeIfAbsent(service, id -> new Estimate());
    }
}
