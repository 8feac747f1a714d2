package org.cactusshift.internal.coordination.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class QuarantineTest {
    private static final long FINGERPRINT = 42;
    private static final UpstreamId FIRST = UpstreamId.fromString("engine-1");
    private static final UpstreamId SECOND = UpstreamId.fromString("engine-2");

    @ParameterizedTest
    @CsvSource({"0, 0, CLEAR", "1, 0, SUSPECT", "0, 1, SUSPECT", "1, 1, REFUSED", "2, 0, REFUSED", "0, 2, REFUSED"})
    void addsLocalAndRemoteCrashes(int local, int remote, Quarantine.Verdict verdict) {
        Quarantine quarantine = Quarantine.create(60_000);
        for (int i = 0; i < local; i++) {
            quarantine.onCrash(FINGERPRINT, i == 0 ? FIRST : SECOND, 5, 10);
        }
        quarantine.onRemoteCrashes(FINGERPRINT, remote, 20);
        assertEquals(verdict, quarantine.verdict(FINGERPRINT, 30));
    }

    /** Two attempts that were sent before a crash of their upstream count as one crash. */
    @Test
    void attemptsSentBeforeACrashCountOnce() {
        Quarantine quarantine = Quarantine.create(60_000);
        quarantine.onCrash(FINGERPRINT, FIRST, 5, 10);
        quarantine.onCrash(FINGERPRINT, FIRST, 6, 11);
        assertEquals(Quarantine.Verdict.SUSPECT, quarantine.verdict(FINGERPRINT, 12));
    }

    /** A further crash of the same upstream counts for an attempt that was sent after the first crash. */
    @Test
    void attemptSentAfterACrashCountsAgain() {
        Quarantine quarantine = Quarantine.create(60_000);
        quarantine.onCrash(FINGERPRINT, FIRST, 5, 10);
        quarantine.onCrash(FINGERPRINT, FIRST, 11, 12);
        assertEquals(Quarantine.Verdict.REFUSED, quarantine.verdict(FINGERPRINT, 13));
    }

    @ParameterizedTest
    @CsvSource({"60009, REFUSED", "60010, CLEAR"})
    void expiresAfterTheRetentionTime(long nowMillis, Quarantine.Verdict verdict) {
        Quarantine quarantine = Quarantine.create(60_000);
        quarantine.onCrash(FINGERPRINT, FIRST, 5, 10);
        quarantine.onCrash(FINGERPRINT, SECOND, 5, 10);
        assertEquals(verdict, quarantine.verdict(FINGERPRINT, nowMillis));
    }

    @Test
    void localCrashSuspectsExcludeCrashesOfOtherNodes() {
        Quarantine quarantine = Quarantine.create(60_000);
        quarantine.onRemoteCrashes(FINGERPRINT, 2, 10);
        assertEquals(List.of(), quarantine.localCrashSuspects(20));
        quarantine.onCrash(FINGERPRINT, FIRST, 25, 30);
        assertEquals(List.of(new CrashSuspectReport(FINGERPRINT, 1, 10)), quarantine.localCrashSuspects(40));
    }

    @Test
    void suspectThatOtherNodesNoLongerReportIsNotActive() {
        Quarantine quarantine = Quarantine.create(60_000);
        quarantine.onRemoteCrashes(FINGERPRINT, 1, 0);
        assertEquals(List.of(FINGERPRINT), quarantine.activeSuspects(5_000));
        assertEquals(List.of(), quarantine.activeSuspects(5_001));
        assertEquals(Quarantine.Verdict.SUSPECT, quarantine.verdict(FINGERPRINT, 5_001));
    }
}
