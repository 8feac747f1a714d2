package org.cactusshift.internal.coordination.serving;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.ServiceId;

/**
 * Learns how fast upstreams answer: a fixed part for each request and a time for each prompt token ahead of it.
 *
 * <p>The time for a token is learnt only from readings that found nothing else to read ahead of them: what other nodes
 * have sent is known too late, and a queue that is already gone makes an engine look faster than it is.
 *
 * <p>The values before any answer only order the first choices; they follow the answers within seconds.
 */
public final class LatencyEstimator {
    private static final double SAMPLE_WEIGHT = 0.05;
    private static final double FIRST_FIXED_MILLIS = 25;
    private static final double FIRST_MILLIS_PER_TOKEN = 0.04;

    /** The weight of a reading that was faster than expected; a slower one may have waited for others unseen. */
    private static final double FASTER_WEIGHT = 0.2;

    /** Requests with less to read than this tell about the fixed part, others about the time for a token. */
    private static final long SMALL_TOKENS = 500;

    /** An engine that produces output reads between its output tokens, at half the speed of one that only reads. */
    private static final double OUTPUT_ENGINE_FACTOR = 2;

    private final Map<ServiceId, Speed> speeds = new HashMap<>();

    private static final class Speed {
        private final EnumMap<EngineStage, Double> fixedMillis = new EnumMap<>(EngineStage.class);
        private double millisPerToken = FIRST_MILLIS_PER_TOKEN;

        private double fixedMillis(EngineStage stage) {
            return fixedMillis.getOrDefault(stage, FIRST_FIXED_MILLIS);
        }

        private double millisPerToken(EngineStage stage) {
            return stage == EngineStage.DECODE ? OUTPUT_ENGINE_FACTOR * millisPerToken : millisPerToken;
        }
    }

    /**
     * Returns the expected time to the first part of an answer.
     *
     * @param service the service
     * @param stage the stage at which the prompt is read, {@link EngineStage#ANY} when nothing is read
     * @param tokensAhead the tokens to be read first, the request's own included
     * @return the time, in milliseconds
     */
    public double firstAnswerMillis(ServiceId service, EngineStage stage, long tokensAhead) {
        Speed speed = speed(service);
        return speed.fixedMillis(stage) + speed.millisPerToken(stage) * tokensAhead;
    }

    /**
     * Takes the time to the first part of an answer.
     *
     * @param service the service
     * @param stage as for {@link #firstAnswerMillis}
     * @param tokensAhead the tokens that were to be read first, the request's own included
     * @param ownTokens the request's own part of these
     * @param tookMillis the time that it took
     */
    public void onFirstAnswer(ServiceId service, EngineStage stage, long tokensAhead, long ownTokens, long tookMillis) {
        Speed speed = speed(service);
        if (tokensAhead < SMALL_TOKENS) {
            double sample = Math.max(0, tookMillis - speed.millisPerToken(stage) * tokensAhead);
            double before = speed.fixedMillis(stage);
            speed.fixedMillis.put(stage, before + SAMPLE_WEIGHT * (sample - before));
        } else if (stage == EngineStage.PREFILL
                && ownTokens >= SMALL_TOKENS
                && tokensAhead - ownTokens < SMALL_TOKENS) {
            double sample = Math.max(0, tookMillis - speed.fixedMillis(stage)) / tokensAhead;
            double weight = sample < speed.millisPerToken ? FASTER_WEIGHT : SAMPLE_WEIGHT;
            speed.millisPerToken += weight * (sample - speed.millisPerToken);
        }
    }

    private Speed speed(ServiceId service) {
        return speeds.computeIfAbsent(service, id -> new Speed());
    }
}
