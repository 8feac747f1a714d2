package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.quarantine.CrashSuspect;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {
    private static final CrashSuspect SUSPECT = CrashSuspect.request(1);

    private final CrashHistory history = CrashHistory.create(60_000);
    private final CrashDetector detector = CrashDetector.create(history, crash -> {});

    @Test
    void lostConnectionsAloneAreNotCrashes() {
        for (int i = 0; i < 9; i++) {
            detector.onAttemptLost(List.of(SUSPECT), UpstreamId.fromString("u" + i), i * 100, i * 100 + 50);
        }
        assertEquals(0, history.crashCount(SUSPECT, 1_000));
    }

    @Test
    void requestThatCrashedSeveralUpstreamsIsRefused() {
        for (int i = 0; i < 3; i++) {
            UpstreamId upstream = UpstreamId.fromString("u" + i);
            detector.onAttemptLost(List.of(SUSPECT), upstream, i * 1_000, i * 1_000 + 50);
            detector.onUpstreamDown(upstream, i * 1_000 + 300);
        }
        assertTrue(history.isRefused(SUSPECT, 3_000));
        assertEquals(0, history.crashCount(CrashSuspect.request(2), 3_000));
    }

    @Test
    void connectionLossLongBeforeAFailureIsNotACrash() {
        UpstreamId upstream = UpstreamId.fromString("u");
        detector.onAttemptLost(List.of(SUSPECT), upstream, 0, 50);
        detector.onUpstreamDown(upstream, 10_000);
        assertEquals(0, history.crashCount(SUSPECT, 10_000));
    }

    /** Guards against refusing a rare sound part because it occurs beside a part that is refused already. */
    @Test
    void crashOfARefusedPartIsNotCountedAgainstTheOtherParts() {
        CrashSuspect crashing = new CrashSuspect(CrashSuspect.Kind.PROMPT_PART, 1);
        CrashSuspect beside = new CrashSuspect(CrashSuspect.Kind.PROMPT_PART, 2);
        for (int i = 0; i < 8; i++) {
            UpstreamId upstream = UpstreamId.fromString("u" + i);
            List<CrashSuspect> suspects = i < 3 ? List.of(crashing) : List.of(crashing, beside);
            detector.onAttemptLost(suspects, upstream, i * 1_000, i * 1_000 + 50);
            detector.onUpstreamDown(upstream, i * 1_000 + 60);
        }
        assertTrue(history.isRefused(crashing, 9_000));
        assertEquals(0, history.crashCount(beside, 9_000));
    }
}
