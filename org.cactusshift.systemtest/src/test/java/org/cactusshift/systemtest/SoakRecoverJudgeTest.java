package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the judge catches planted failures at nodes without links, and nothing else. */
class SoakRecoverJudgeTest {
    /** Requests at nodes whose links were lost for a time, of which some are served; others serve 99 of 100. */
    @ParameterizedTest
    @CsvSource({
        // The record of the incident, and one third.
        "42, 0, 8000, true",
        "300, 100, 4000, true",
        // Two thirds, few requests, and requests soon after the loss.
        "300, 200, 4000, false",
        "10, 0, 4000, false",
        "300, 0, 2900, false"
    })
    void failuresAtNodesWithoutLinksAreCaught(int requests, int served, long lostForMillis, boolean violated) {
        SoakRecoverJudge judge = new SoakRecoverJudge();
        for (int i = 0; i < 100; i++) {
            judge.onEnded(0, i > 0);
        }
        for (int i = 0; i < requests; i++) {
            judge.onEnded(lostForMillis, i < served);
        }
        assertEquals(violated, !judge.violations().isEmpty(), judge.toString());
    }
}
