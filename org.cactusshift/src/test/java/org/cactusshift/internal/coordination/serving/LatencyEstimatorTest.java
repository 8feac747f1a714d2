package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LatencyEstimatorTest {
    private static final int SAMPLES = 100;

    private final LatencyEstimator estimator = new LatencyEstimator();

    private double prefillMillis(EngineStage stage, long tokens) {
        return estimator.firstPartMillis(ServingFixture.MODEL, stage, tokens)
                - estimator.firstPartMillis(ServingFixture.MODEL, stage, 0);
    }

    /**
     * Scenario: the prefills of other nodes end before this node learns of them, so that its queue estimate is stale.
     */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 20_000, 60_000})
    void staleQueueEstimateDoesNotChangeTheTimePerToken(long staleTokens) {
        double before = prefillMillis(EngineStage.DECODE, 30_000);
        for (int i = 0; i < SAMPLES; i++) {
            estimator.onFirstResponsePart(ServingFixture.MODEL, EngineStage.DECODE, staleTokens + 400, 400, 40);
            estimator.onFirstResponsePart(ServingFixture.MODEL, EngineStage.PREFILL, staleTokens + 400, 400, 40);
        }
        assertEquals(before, prefillMillis(EngineStage.DECODE, 30_000), 1);
    }

    @Test
    void prefillsOnAnEmptyQueueDetermineTheTimePerToken() {
        // 25 ms of fixed time and 200 ms for the tokens.
        for (int i = 0; i < SAMPLES; i++) {
            estimator.onFirstResponsePart(ServingFixture.MODEL, EngineStage.PREFILL, 10_000, 10_000, 225);
        }
        assertEquals(200, prefillMillis(EngineStage.PREFILL, 10_000), 10);
        assertEquals(400, prefillMillis(EngineStage.DECODE, 10_000), 20);
    }

    @Test
    void slowSamplesFromUnknownQueueingHaveLittleEffect() {
        for (int i = 0; i < SAMPLES; i++) {
            long unknownQueueingMillis = i % 4 == 0 ? 400 : 0;
            estimator.onFirstResponsePart(
                    ServingFixture.MODEL, EngineStage.PREFILL, 10_000, 10_000, 225 + unknownQueueingMillis);
        }
        assertTrue(prefillMillis(EngineStage.PREFILL, 10_000) < 300);
    }
}
