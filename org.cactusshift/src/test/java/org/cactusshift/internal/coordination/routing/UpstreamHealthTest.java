package org.cactusshift.internal.coordination.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamHealthTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void goesDownImmediatelyAndRecoversByOneProbe(long seed) {
        UpstreamHealth health = UpstreamHealth.create();
        health.onFailure(1_000, new Random(seed));
        assertEquals(UpstreamHealth.State.DOWN, health.state(1_000));
        // The jittered back-off lasts from 250 ms to 749 ms.
        assertEquals(UpstreamHealth.State.DOWN, health.state(1_249));
        assertEquals(UpstreamHealth.State.PROBE_DUE, health.state(1_750));
        health.onProbe();
        assertEquals(UpstreamHealth.State.PROBING, health.state(100_000));
        health.onSuccess(1_750);
        assertEquals(UpstreamHealth.State.UP, health.state(2_000));
    }

    @Test
    void backsOffLongerWithEachFailure() {
        long previousMillis = 0;
        UpstreamHealth health = UpstreamHealth.create();
        long nowMillis = 0;
        for (int i = 0; i < 4; i++) {
            health.onFailure(nowMillis, new Random(7));
            long downMillis = 0;
            while (health.state(nowMillis + downMillis) == UpstreamHealth.State.DOWN) {
                downMillis++;
            }
            assertTrue(downMillis > previousMillis, downMillis + " after " + previousMillis);
            previousMillis = downMillis;
            nowMillis += downMillis;
            health.onProbe();
        }
    }

    @Test
    void responseToAnOlderAttemptIsNoEvidenceOfRecovery() {
        UpstreamHealth health = UpstreamHealth.create();
        health.onFailure(1_000, new Random(1));
        health.onSuccess(999);
        assertEquals(UpstreamHealth.State.DOWN, health.state(1_001));
    }

    @Test
    void restartAllowsAnImmediateProbe() {
        UpstreamHealth health = UpstreamHealth.create();
        health.onFailure(1_000, new Random(1));
        health.onRestart(1_010);
        assertEquals(UpstreamHealth.State.PROBE_DUE, health.state(1_010));
    }
}
