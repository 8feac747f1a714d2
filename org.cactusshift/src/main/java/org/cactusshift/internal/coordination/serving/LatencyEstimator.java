package org.cactusshift.internal.coordination.serving;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.ServiceId;

/**
 * Estimates the time to the first part of a response: a fixed time for each request plus a time for each pending
 * prefill token.
 *
 * <p>The time for a token is updated only by prefills that had no others queued before them: the requests of other
 * nodes are known too late, and counting a queue that is already processed makes an engine look faster than it is.
 *
 * <p>The initial values only order the first placements; the estimates follow the responses within seconds.
 */
public final class LatencyEstimator {
    private static final double SAMPLE_WEIGHT = 0.05;
    private static final double INITIAL_FIXED_MILLIS = 25;
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.04;

    /**
     * The weight of a prefill that was faster than expected; a slower one may have waited for requests unknown to this
     * node.
     */
    private static final double FASTER_SAMPLE_WEIGHT = 0.2;

    /** Requests with fewer pending tokens than this update the fixed time, others the time for a token. */
    private static final long FEW_TOKENS = 500;

    /** A decode engine prefills between its output tokens, at half the speed of a prefill engine. */
    private static final double DECODE_ENGINE_FACTOR = 2;

    private final Map<ServiceId, Estimate> estimates = new HashMap<>();

    private static final class Estimate {
        private final EnumMap<EngineStage, Double> fixedMillis = new EnumMap<>(EngineStage.class);
        private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

        private double fixedMillis(EngineStage stage) {
            return fixedMillis.getOrDefault(stage, INITIAL_FIXED_MILLIS);
        }

        private double millisPerToken(EngineStage stage) {
            return stage == EngineStage.DECODE ? DECODE_ENGINE_FACTOR * millisPerToken : millisPerToken;
        }
    }

    /**
     * Returns the expected time to the first part of a response.
     *
     * @param service the service
     * @param stage the stage whose prefill speed applies, {@link EngineStage#ANY} when nothing is prefilled
     * @param tokensAhead the pending prefill tokens, including those of the request itself
     * @return the time, in milliseconds
     */
    public double firstResponseMillis(ServiceId service, EngineStage stage, long tokensAhead) {
        Estimate estimate = estimate(service);
        return estimate.fixedMillis(stage) + estimate.millisPerToken(stage) * tokensAhead;
    }

    /**
     * Updates the estimates with the measured time to the first part of a response.
     *
     * @param service the service
     * @param stage as for {@link #firstResponseMillis}
     * @param tokensAhead the pending prefill tokens when the request was sent, including its own
     * @param ownTokens the tokens of the request itself
     * @param tookMillis the measured time
     */
    public void onFirstResponsePart(
            ServiceId service, EngineStage stage, long tokensAhead, long ownTokens, long tookMillis) {
        Estimate estimate = estimate(service);
        if (tokensAhead < FEW_TOKENS) {
            double sample = Math.max(0, tookMillis - estimate.millisPerToken(stage) * tokensAhead);
            double before = estimate.fixedMillis(stage);
            estimate.fixedMillis.put(stage, before + SAMPLE_WEIGHT * (sample - before));
        } else if (stage == EngineStage.PREFILL && ownTokens >= FEW_TOKENS && tokensAhead - ownTokens < FEW_TOKENS) {
            double sample = Math.max(0, tookMillis - estimate.fixedMillis(stage)) / tokensAhead;
            double weight = sample < estimate.millisPerToken ? FASTER_SAMPLE_WEIGHT : SAMPLE_WEIGHT;
            estimate.millisPerToken += weight * (sample - estimate.millisPerToken);
        }
    }

    private Estimate estimate(ServiceId service) {
        return estimates.computeIfAbsent(service, id -> new Estimate());
    }
}
