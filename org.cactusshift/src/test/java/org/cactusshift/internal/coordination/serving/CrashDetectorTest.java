package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {
    private final Quarantine quarantine = Quarantine.create(60_000);
    private final CrashDetector witness = CrashDetector.create(quarantine);

    @Test
    void brokenConnectionsAloneAreNoCrash() {
        for (int i = 0; i < 9; i++) {
            witness.onConnectionLost(1, UpstreamId.fromString("u" + i), i * 100, i * 100 + 50);
        }
        assertEquals(Quarantine.Verdict.CLEAR, quarantine.verdict(1, 1_000));
    }

    @Test
    void requestIsRefusedAfterItCrashedSeveralUpstreams() {
        for (int i = 0; i < 3; i++) {
            UpstreamId upstream = UpstreamId.fromString("u" + i);
            witness.onConnectionLost(1, upstream, i * 1_000, i * 1_000 + 50);
            witness.onUpstreamDown(upstream, i * 1_000 + 300);
        }
        assertEquals(Quarantine.Verdict.REFUSED, quarantine.verdict(1, 3_000));
        assertEquals(Quarantine.Verdict.CLEAR, quarantine.verdict(2, 3_000));
    }

    @Test
    void upstreamThatGoesDownMuchLaterIsNoWitness() {
        UpstreamId upstream = UpstreamId.fromString("u");
        witness.onConnectionLost(1, upstream, 0, 50);
        witness.onUpstreamDown(upstream, 10_000);
        assertEquals(Quarantine.Verdict.CLEAR, quarantine.verdict(1, 10_000));
    }
}
