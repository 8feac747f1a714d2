package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {
    private final Quarantine quarantine = Quarantine.create(60_000);
    private final CrashDetector detector = CrashDetector.create(quarantine, crash -> {});

    @Test
    void lostConnectionsAloneAreNotCrashes() {
        for (int i = 0; i < 9; i++) {
            detector.onAttemptLost(1, UpstreamId.fromString("u" + i), i * 100, i * 100 + 50);
        }
        assertEquals(Quarantine.Verdict.CLEAR, quarantine.verdict(1, 1_000));
    }

    @Test
    void requestThatCrashedSeveralUpstreamsIsRefused() {
        for (int i = 0; i < 3; i++) {
            UpstreamId upstream = UpstreamId.fromString("u" + i);
            detector.onAttemptLost(1, upstream, i * 1_000, i * 1_000 + 50);
            detector.onUpstreamDown(upstream, i * 1_000 + 300);
        }
        assertEquals(Quarantine.Verdict.REFUSED, quarantine.verdict(1, 3_000));
        assertEquals(Quarantine.Verdict.CLEAR, quarantine.verdict(2, 3_000));
    }

    @Test
    void connectionLossLongBeforeAFailureIsNotACrash() {
        UpstreamId upstream = UpstreamId.fromString("u");
        detector.onAttemptLost(1, upstream, 0, 50);
        detector.onUpstreamDown(upstream, 10_000);
        assertEquals(Quarantine.Verdict.CLEAR, quarantine.verdict(1, 10_000));
    }
}
