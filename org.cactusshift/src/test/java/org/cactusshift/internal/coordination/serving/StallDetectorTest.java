package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StallDetectorTest {
    private static final long LIMIT_MILLIS = 700;

    /** Guards against a limit that shrinks with each check, so that a response in progress counts as stalled. */
    @ParameterizedTest
    @CsvSource({"true, 300", "false, 300", "true, 699", "false, 1"})
    void progressBetweenChecksKeepsTheLimit(boolean responseStarted, long gapMillis) {
        StallDetector detector = StallDetector.create(LIMIT_MILLIS, 0);
        if (responseStarted) {
            detector.onResponseStarted();
        }
        for (long now = 10_000; now < 20_000; now += 1_000) {
            detector.onProgress(now - gapMillis);
            assertEquals(LIMIT_MILLIS - gapMillis, detector.remainingMillis(gapMillis, now));
        }
    }

    @ParameterizedTest
    @CsvSource({"true, 0, 0", "true, 900, 0", "false, 100, 600", "false, 900, 0"})
    void progressWithOtherRequestsCountsUntilTheResponseStarts(
            boolean responseStarted, long upstreamStalledMillis, long remainingMillis) {
        StallDetector detector = StallDetector.create(LIMIT_MILLIS, 1_000);
        if (responseStarted) {
            detector.onResponseStarted();
        }
        assertEquals(remainingMillis, detector.remainingMillis(upstreamStalledMillis, 1_800));
    }

    @Test
    void newLimitAppliesFromTheLastProgress() {
        StallDetector detector = StallDetector.create(LIMIT_MILLIS, 0);
        detector.onResponseStarted();
        detector.onProgress(500);
        detector.setLimitMillis(1_000);
        assertEquals(400, detector.remainingMillis(0, 1_100));
        assertEquals(0, detector.remainingMillis(0, 1_500));
    }

    /** Guards against replacing an upstream because its caller reads slowly. */
    @Test
    void responseThatIsNotReadIsNotStalled() {
        StallDetector detector = StallDetector.create(LIMIT_MILLIS, 0);
        detector.onResponseStarted();
        detector.onPaused();
        assertEquals(LIMIT_MILLIS, detector.remainingMillis(0, 5_000));
        detector.onResumed(6_000);
        assertEquals(600, detector.remainingMillis(0, 6_100));
    }
}
