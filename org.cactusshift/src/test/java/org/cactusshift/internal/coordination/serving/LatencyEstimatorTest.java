package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LatencyEstimatorTest {
    private static final int SAMPLES = 100;

    private final LatencyEstimator speed = new LatencyEstimator();

    private double readMillis(EngineStage stage, long tokens) {
        return speed.firstAnswerMillis(ServingFixture.MODEL, stage, tokens)
                - speed.firstAnswerMillis(ServingFixture.MODEL, stage, 0);
    }

    /** Load pattern: other nodes' readings are done before this node hears that they were there. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 20_000, 60_000})
    void queueThatIsGoneAlreadyTeachesNothing(long staleTokens) {
        double before = readMillis(EngineStage.DECODE, 30_000);
        for (int i = 0; i < SAMPLES; i++) {
            speed.onFirstAnswer(ServingFixture.MODEL, EngineStage.DECODE, staleTokens + 400, 400, 40);
            speed.onFirstAnswer(ServingFixture.MODEL, EngineStage.PREFILL, staleTokens + 400, 400, 40);
        }
        assertEquals(before, readMillis(EngineStage.DECODE, 30_000), 1);
    }

    @Test
    void readingsThatFoundNothingAheadTeachThePace() {
        for (int i = 0; i < SAMPLES; i++) {
            speed.onFirstAnswer(ServingFixture.MODEL, EngineStage.PREFILL, 10_000, 10_000, 225);
        }
        assertEquals(200, readMillis(EngineStage.PREFILL, 10_000), 10);
        assertEquals(400, readMillis(EngineStage.DECODE, 10_000), 20);
    }

    @Test
    void readingsThatWaitedUnseenMoveThePaceLittle() {
        for (int i = 0; i < SAMPLES; i++) {
            long unseenMillis = i % 4 == 0 ? 400 : 0;
            speed.onFirstAnswer(ServingFixture.MODEL, EngineStage.PREFILL, 10_000, 10_000, 225 + unseenMillis);
        }
        assertTrue(readMillis(EngineStage.PREFILL, 10_000) < 300);
    }
}
