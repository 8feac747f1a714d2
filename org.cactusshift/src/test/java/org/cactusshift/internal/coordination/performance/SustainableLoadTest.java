package org.cactusshift.internal.coordination.performance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SustainableLoadTest {
    private final SustainableLoad load = SustainableLoad.create();

    private void respond(int count, int range, double relativeTime) {
        for (int i = 0; i < count; i++) {
            load.onResponse(range, relativeTime, 0);
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 12, 0", "5, 12, 0", "6, 12, 1", "10, 12, 1", "11, 12, 2", "40, 12, 2", "1, 0, 2"})
    void rangeIsThatOfTheSlotsInUse(int requests, int slots, int expected) {
        assertEquals(expected, SustainableLoad.range(requests, slots));
    }

    /** Guards against slots that are given up for a small or chance difference, or for good. */
    @ParameterizedTest
    @CsvSource({"1, 1.6, 8, 5", "2, 1.6, 8, 10", "1, 1.4, 8, 12", "1, 1.6, 7, 12", "0, 1.6, 20, 12"})
    void slotsAreLimitedWhereResponsesTakeHalfAsLongAgain(int range, double relativeTime, int count, int expected) {
        respond(8, 0, 1);
        respond(count, range, relativeTime);
        assertEquals(expected, load.usableSlots(12, 0));
        assertEquals(12, load.usableSlots(12, 30_000));
    }

    /** Guards against an upstream that counts as slow at all loads because it is at a high one. */
    @Test
    void slowdownByTheLoadIsThatOfItsRangeOnly() {
        respond(8, 0, 1);
        respond(8, 1, 2);
        assertEquals(1, load.slowdown(0, 0));
        assertEquals(2, load.slowdown(1, 0), 1e-9);
    }

    /** Guards against a speed that changed between two loads and is taken for a limit. */
    @Test
    void oldResponsesAreNotCompared() {
        respond(8, 0, 1);
        for (int i = 0; i < 20; i++) {
            load.onResponse(1, 2, 20_000);
        }
        assertEquals(12, load.usableSlots(12, 20_000));
    }

    @ParameterizedTest
    @CsvSource({"0, 12", "1, 5", "2, 10"})
    void refusalCountsAsSlownessUnlessTheLoadIsLow(int range, int expected) {
        respond(8, 0, 1);
        for (int i = 0; i < 8; i++) {
            load.onRefused(range, 0);
        }
        assertEquals(expected, load.usableSlots(12, 0));
        // Refusals say nothing about the time of the responses that come.
        assertEquals(1, load.slowdown(range, 0));
    }
}
