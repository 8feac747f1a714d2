package org.cactusshift.internal.coordination.serving;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.ServiceId;

/**
 * Learns how fast upstreams answer: a fixed part for each request and a time for each prompt token ahead of it.
 *
 * <p>The values before any answer only order the first choices; they follow the answers within seconds.
 */
public final class ReadingSpeed {
    private static final double SAMPLE_WEIGHT = 0.05;
    private static final double FIRST_FIXED_MILLIS = 25;
    private static final double FIRST_MILLIS_PER_TOKEN = 0.04;

    /** Requests with less to read than this tell about the fixed part, others about the time for a token. */
    private static final long SMALL_TOKENS = 500;

    private final Map<ServiceId, EnumMap<EngineStage, Speed>> speeds = new HashMap<>();

    private static final class Speed {
        private double fixedMillis = FIRST_FIXED_MILLIS;
        private double millisPerToken = FIRST_MILLIS_PER_TOKEN;
    }

    /**
     * Returns the expected time to the first part of an answer.
     *
     * @param service the service
     * @param stage the stage of the upstream
     * @param tokensAhead the tokens to be read first, the request's own included
     * @return the time, in milliseconds
     */
    public double firstAnswerMillis(ServiceId service, EngineStage stage, long tokensAhead) {
        Speed speed = speed(service, stage);
        return speed.fixedMillis + speed.millisPerToken * tokensAhead;
    }

    /**
     * Takes the time to the first part of an answer.
     *
     * @param service the service
     * @param stage the stage of the upstream
     * @param tokensAhead the tokens that were to be read first, the request's own included
     * @param tookMillis the time that it took
     */
    public void onFirstAnswer(ServiceId service, EngineStage stage, long tokensAhead, long tookMillis) {
        Speed speed = speed(service, stage);
        if (tokensAhead < SMALL_TOKENS) {
            double sample = Math.max(0, tookMillis - speed.millisPerToken * tokensAhead);
            speed.fixedMillis += SAMPLE_WEIGHT * (sample - speed.fixedMillis);
        } else {
            double sample = Math.max(0, tookMillis - speed.fixedMillis) / tokensAhead;
            speed.millisPerToken += SAMPLE_WEIGHT * (sample - speed.millisPerToken);
        }
    }

    private Speed speed(ServiceId service, EngineStage stage) {
        return speeds.computeIfAbsent(service, id -> new EnumMap<>(EngineStage.class))
                .computeIfAbsent(stage, key -> new Speed());
    }
}
