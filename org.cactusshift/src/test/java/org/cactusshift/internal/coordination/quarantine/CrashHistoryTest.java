package org.cactusshift.internal.coordination.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CrashHistoryTest {
    private static final long RETENTION_MILLIS = 60_000;
    private static final long RECENT_MILLIS = 1_000;
    private static final CrashSuspect SUSPECT = CrashSuspect.request(42);

    private final CrashHistory history = CrashHistory.create(RETENTION_MILLIS);

    private static UpstreamId upstream(int number) {
        return UpstreamId.fromString("engine-" + number);
    }

    private void crash(int upstream, long sentAtMillis, long lostAtMillis) {
        history.onCrash(List.of(SUSPECT), upstream(upstream), sentAtMillis, lostAtMillis, lostAtMillis);
    }

    /** The times of two attempts and whether they count as two crashes, at the same upstream or at two. */
    @ParameterizedTest
    @CsvSource({
        // Two attempts at the same upstream, lost in the same crash.
        "1, 0, 10, 1, 5, 11, 1",
        // Two upstreams that crashed at the same time.
        "1, 0, 10, 2, 5, 12, 1",
        // Sent before the crash of the other upstream, lost long after.
        "1, 0, 10, 2, 9, 3000, 1",
        "1, 0, 10, 2, 11, 20, 2",
        // The upstream is back and crashes again.
        "1, 0, 10, 1, 6000, 6010, 2"
    })
    void countsCrashesOneAfterAnother(
            int firstUpstream, long firstSent, long firstLost, int secondUpstream, long sent, long lost, int count) {
        crash(firstUpstream, firstSent, firstLost);
        crash(secondUpstream, sent, lost);
        assertEquals(count, history.crashCount(SUSPECT, 7_000));
        assertEquals(count == 2, history.isRefused(SUSPECT, 7_000));
    }

    @ParameterizedTest
    @CsvSource({"60009, true", "60010, false"})
    void crashCountsForTheRetentionTime(long nowMillis, boolean refused) {
        crash(1, 0, 10);
        crash(2, 20, 30);
        assertEquals(refused, history.isRefused(SUSPECT, nowMillis));
        history.expire(60_030);
        assertEquals(List.of(), history.reports(RECENT_MILLIS, 60_030));
    }

    /** Guards against peers whose crashes, one each, are not added up. */
    @Test
    void crashesThatDifferentNodesObservedAddUp() {
        history.onReport(new CrashReport(SUSPECT, upstream(1), 500, 400), 1_000);
        assertFalse(history.isRefused(SUSPECT, 1_000));
        history.onReport(new CrashReport(SUSPECT, upstream(2), 300, 200), 1_000);
        assertTrue(history.isRefused(SUSPECT, 1_000));
    }

    @Test
    void crashThatSeveralNodesObservedCountsOnce() {
        crash(1, 100, 200);
        history.onReport(new CrashReport(SUSPECT, upstream(1), 50, 10), 220);
        history.onReport(new CrashReport(SUSPECT, upstream(1), 400, 25), 225);
        assertEquals(1, history.crashCount(SUSPECT, 300));
    }

    @ParameterizedTest
    @CsvSource({
        "REQUEST, 1, false",
        "REQUEST, 2, true",
        "PROMPT_PART, 2, false",
        "PROMPT_PART, 3, true",
        "FIRST_PROMPT_PART, 4, false",
        "FIRST_PROMPT_PART, 5, true"
    })
    void refusesAfterTheNumberOfCrashesOfItsKind(CrashSuspect.Kind kind, int crashes, boolean refused) {
        CrashSuspect suspect = new CrashSuspect(kind, 7);
        for (int i = 0; i < crashes; i++) {
            history.onCrash(List.of(suspect), upstream(i), 100L * i, 100L * i + 50, 100L * i + 50);
        }
        assertEquals(refused, history.isRefused(suspect, 1_000));
        assertEquals(refused ? List.of(suspect) : List.of(), history.refused(1_000));
        // It is released when it has crashed nothing for the retention time.
        assertFalse(history.isRefused(suspect, 1_000 + RETENTION_MILLIS));
    }

    /** Guards against refusing the first part, which most requests share, together with the part that follows it. */
    @Test
    void firstPartIsNotRefusedBesideTheCrashingPart() {
        List<CrashSuspect> parts = CrashSuspect.promptParts(List.of(1L, 2L));
        for (int i = 0; i < 8; i++) {
            history.onCrash(parts, upstream(i), 100L * i, 100L * i + 50, 100L * i + 50);
        }
        assertFalse(history.isRefused(parts.get(0), 1_000));
        assertTrue(history.isRefused(parts.get(1), 1_000));
    }

    /** A first part that crashes engines whatever follows it is refused in the end. */
    @Test
    void crashingFirstPartIsRefused() {
        for (long i = 0; i < 5; i++) {
            List<CrashSuspect> parts = CrashSuspect.promptParts(List.of(1L, 10 + i));
            history.onCrash(parts, upstream((int) i), 100 * i, 100 * i + 50, 100 * i + 50);
        }
        assertEquals(CrashSuspect.promptParts(List.of(1L)), history.refused(1_000));
    }

    /** Guards against refusing a part that most requests share when many engines crash again and again. */
    @Test
    void partOfSoundRequestsIsNotRefusedWhileEnginesCrash() {
        CrashSuspect shared = new CrashSuspect(CrashSuspect.Kind.PROMPT_PART, 7);
        for (long now = 0; now < 30_000; now += 1_000) {
            for (int i = 0; i < 8; i++) {
                history.onCrash(List.of(shared), upstream(i), now + 10 * i, now + 300, now + 300);
            }
            assertFalse(history.isRefused(shared, now + 301));
            history.onCompleted(shared, now + 310, now + 600);
        }
    }

    /** An attempt clears its suspect only of the crashes before it was sent. */
    @ParameterizedTest
    @CsvSource({"30, 0", "29, 1", "10, 1", "9, 2"})
    void completedAttemptClearsOfEarlierCrashes(long sentAtMillis, int count) {
        crash(1, 0, 10);
        crash(2, 20, 30);
        history.onCompleted(SUSPECT, sentAtMillis, 40);
        assertEquals(count, history.crashCount(SUSPECT, 50));
    }

    /** Guards against a cleared suspect that becomes one again by the reports of a node that has not heard of it. */
    @Test
    void clearedSuspectStaysCleared() {
        crash(1, 0, 10);
        crash(2, 20, 30);
        CrashHistory other = CrashHistory.create(RETENTION_MILLIS);
        history.reports(RECENT_MILLIS, 40).forEach(report -> other.onReport(report, 41));
        history.onCompleted(SUSPECT, 35, 50);

        // Reported long after the attempt, which answers with the completed attempt again.
        other.reports(RECENT_MILLIS, 20_000).forEach(report -> history.onReport(report, 20_001));
        assertEquals(0, history.crashCount(SUSPECT, 20_001));
        assertTrue(other.isRefused(SUSPECT, 20_001));
        history.completionReports(RECENT_MILLIS, 20_002).forEach(report -> other.onReport(report, 20_003));
        assertEquals(0, other.crashCount(SUSPECT, 20_003));
    }

    /** Any order, repetition and detour of the reports leads to the same count. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void nodesThatExchangeReportsAgree(long seed) {
        Random random = new Random(seed);
        List<CrashHistory> nodes = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            nodes.add(CrashHistory.create(RETENTION_MILLIS));
        }
        // Each crash is observed by one or two nodes.
        for (int i = 0; i < 4; i++) {
            long sentAtMillis = 100L * i;
            for (int observer = 0; observer <= random.nextInt(2); observer++) {
                nodes.get(random.nextInt(nodes.size()))
                        .onCrash(List.of(SUSPECT), upstream(i), sentAtMillis, sentAtMillis + 50, sentAtMillis + 60);
            }
        }
        for (long now = 500; now < 3_000; now += 250) {
            List<Integer> senders = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
            Collections.shuffle(senders, random);
            for (int sender : senders) {
                // A ring with one more peer chosen at random: most reports arrive by way of other nodes.
                for (int peer : new int[] {(sender + 1) % nodes.size(), random.nextInt(nodes.size())}) {
                    long arrivedAt = now + random.nextInt(20);
                    nodes.get(sender)
                            .reports(RECENT_MILLIS, now)
                            .forEach(report -> nodes.get(peer).onReport(report, arrivedAt));
                }
            }
        }
        for (CrashHistory node : nodes) {
            assertEquals(4, node.crashCount(SUSPECT, 3_000));
        }
    }

    /** Guards against messages that grow with each crash until no peer can read them. */
    @Test
    void reportsAreLimitedAndNameRefusedSuspectsFirst() {
        crash(1, 0, 10);
        crash(2, 20, 30);
        for (int i = 0; i < 500; i++) {
            history.onCrash(List.of(CrashSuspect.request(1_000 + i)), upstream(3), 40, 50, 50);
        }
        List<CrashReport> reports = history.reports(RECENT_MILLIS, 60);
        assertEquals(64, reports.size());
        assertEquals(SUSPECT, reports.get(0).suspect());
        assertEquals(SUSPECT, reports.get(1).suspect());
        // Only refused suspects are still reported later, for nodes that have just started.
        assertEquals(2, history.reports(RECENT_MILLIS, 5_000).size());
    }
}
