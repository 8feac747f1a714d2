package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the judge catches planted requests within a rest, and nothing else. */
class SoakRestJudgeTest {
    /** The rest of 3 s is asked of node a at 0; requests arrive at even intervals. */
    @ParameterizedTest
    @CsvSource({
        // Three requests within the rest, and two.
        "a, true, 600, 2900, 800, true",
        "a, true, 600, 2100, 800, false",
        // Of another node, or of one that was interrupted.
        "b, true, 600, 2900, 100, false",
        "a, false, 600, 2900, 100, false",
        // On their way when the rest was asked for, and after its end.
        "a, true, 0, 499, 10, false",
        "a, true, 3000, 5000, 10, false"
    })
    void requestsWithinARestAreCaught(
            String node, boolean inTouch, long fromMillis, long toMillis, long intervalMillis, boolean violated) {
        SoakRestJudge judge = new SoakRestJudge();
        judge.onAsked("a", 3_000, 0);
        for (long now = fromMillis; now <= toMillis; now += intervalMillis) {
            judge.onArrival(node, inTouch, now);
        }
        assertEquals(violated, !judge.violations().isEmpty(), judge.violations().toString());
    }
}
