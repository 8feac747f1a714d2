package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the judge catches planted requests beyond a limit, and nothing else. */
class SoakLimitJudgeTest {
    /** The limit is 5 a second, stated at 0; requests arrive at even intervals. */
    @ParameterizedTest
    @CsvSource({
        // The rate that the limit allows, and one and a half times that.
        "200, 3000, 12000, true, 100000, false",
        "133, 3000, 12000, true, 100000, false",
        // Twice as much, from nodes in touch and from others.
        "100, 3000, 12000, true, 100000, true",
        "100, 3000, 12000, false, 100000, false",
        // Before the nodes have to keep to it, and after it has ended.
        "10, 0, 2900, true, 100000, false",
        "10, 5000, 12000, true, 4900, false",
        // A burst in which each of 60 nodes sends one request.
        "1, 3000, 3060, true, 100000, true"
    })
    void requestsBeyondALimitAreCaught(
            long intervalMillis, long fromMillis, long toMillis, boolean inTouch, long endsAtMillis, boolean violated) {
        SoakLimitJudge judge = new SoakLimitJudge();
        judge.onStated(5, 0);
        for (long now = fromMillis; now < toMillis; now += intervalMillis) {
            if (now >= endsAtMillis) {
                judge.onEnded();
            }
            judge.onArrival(inTouch, now);
        }
        assertEquals(violated, !judge.violations().isEmpty(), judge.violations().toString());
    }
}
