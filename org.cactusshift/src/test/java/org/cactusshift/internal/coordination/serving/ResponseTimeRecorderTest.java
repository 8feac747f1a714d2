package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseTimeRecorderTest {
    private final ServingFixture fixture = new ServingFixture();
    private final Upstream upstream =
            fixture.add("a", ServingFixture.MODEL, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);

    private long now;

    private void record(SentWork work, long tookMillis, int count) {
        for (int i = 0; i < count; i++) {
            now += 10;
            fixture.responseTimes.onFirstPart(upstream, work, tookMillis, now);
        }
    }

    /** Guards against the only upstream with samples that is preferred because all work is faster than expected. */
    @ParameterizedTest
    @ValueSource(longs = {2, 2_000})
    void estimateIsRelativeToTheOtherUpstreamsAndNotToTheExpectedTime(long tookMillis) {
        record(new SentWork(EngineStage.PREFILL, 9_000, 9_000, 0, 0, false), tookMillis, 200);
        assertEquals(1, upstream.performance().estimate(now), 0.2);
    }

    /** Guards against an upstream that counts as slow because it is busy. */
    @Test
    void waitingForOtherRequestsIsNotSlowness() {
        record(new SentWork(EngineStage.ANY, 0, 0, 0, 0, true), 50, 200);
        // A queue as long as the slots doubles the time.
        record(new SentWork(EngineStage.ANY, 0, 0, 1, 2, true), 100, 20);
        assertEquals(1, upstream.performance().estimate(now), 0.05);
        // Behind twice its own work, and for a slot of an engine, no sample is taken.
        long samples = upstream.performance().samples();
        record(new SentWork(EngineStage.PREFILL, 1_000, 9_000, 0, 0, false), 900, 20);
        record(new SentWork(EngineStage.PREFILL, 1_000, 1_000, 0.1, 2, false), 900, 20);
        assertEquals(samples, upstream.performance().samples());
    }

    /** Guards against a passing slowdown that the upstream states and that is learned as its speed. */
    @Test
    void statedSlowdownIsNotLearned() {
        record(new SentWork(EngineStage.ANY, 0, 0, 0, 0, true), 50, 200);
        upstream.performance().onStated(250, now);
        record(new SentWork(EngineStage.ANY, 0, 0, 0, 0, true), 125, 20);
        assertEquals(1, upstream.performance().estimate(now), 0.05);
        assertTrue(upstream.performance().relativeTime(now) > 2.3);
    }
}
