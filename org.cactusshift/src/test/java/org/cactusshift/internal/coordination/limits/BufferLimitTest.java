package org.cactusshift.internal.coordination.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cactusshift.internal.coordination.limits.BufferLimit.Selection;
import org.junit.jupiter.api.Test;

class BufferLimitTest {
    private final List<String> ended = new ArrayList<>();

    private BufferLimit.Account open(BufferLimit limit, String name, long startedAtMillis) {
        return limit.open(startedAtMillis, () -> ended.add(name));
    }

    /** Guards against slow callers that take the heap, and small responses that are ended in place of a large one. */
    @Test
    void largestIsEndedFirstUntilTheLimitIsMet() {
        BufferLimit limit = BufferLimit.of(Selection.LARGEST, 1_000);
        BufferLimit.Account small = open(limit, "small", 0);
        BufferLimit.Account large = open(limit, "large", 0);
        assertTrue(large.hold(700, 1));
        assertTrue(small.hold(300, 2));
        assertTrue(small.hold(301, 3));
        assertEquals(List.of("large"), ended);
        assertFalse(large.hold(1, 4));
        assertEquals(301, limit.bytes());
        assertFalse(small.hold(1_001, 5));
        assertEquals(List.of("large", "small"), ended);
        assertEquals(0, limit.bytes());
        assertEquals(2, limit.endedCount());
    }

    /** Guards against ending an upload that makes progress, or one that frees almost nothing. */
    @Test
    void slowestOfThoseWithTheMeanIsEnded() {
        BufferLimit limit = BufferLimit.of(Selection.SLOWEST, 1_000);
        BufferLimit.Account tiny = open(limit, "tiny", 0);
        BufferLimit.Account slow = open(limit, "slow", 0);
        BufferLimit.Account fast = open(limit, "fast", 9_900);
        assertTrue(tiny.hold(1, 10_000));
        assertTrue(slow.hold(400, 10_000));
        assertTrue(fast.hold(600, 10_000));
        assertEquals(List.of("slow"), ended);
        assertEquals(601, limit.bytes());
        assertTrue(tiny.hold(2, 10_000));
    }

    /** Guards against figures that drift as connections come, change and go. */
    @Test
    void sumIsThatOfTheOpenAccounts() {
        Random random = new Random(7);
        BufferLimit limit = BufferLimit.of(Selection.LARGEST, 50_000);
        BufferLimit.Account[] accounts = new BufferLimit.Account[200];
        long[] held = new long[accounts.length];
        for (int step = 0; step < 20_000; step++) {
            int i = random.nextInt(accounts.length);
            if (accounts[i] == null || random.nextInt(10) == 0) {
                if (accounts[i] != null) {
                    accounts[i].close();
                }
                held[i] = 0;
                accounts[i] = limit.open(step, () -> held[i] = 0);
            }
            long bytes = random.nextInt(3) == 0 ? 0 : random.nextInt(1_000);
            held[i] = bytes;
            if (!accounts[i].hold(bytes, step)) {
                held[i] = 0;
            }
            long sum = 0;
            for (long one : held) {
                sum += one;
            }
            assertEquals(sum, limit.bytes());
            assertTrue(sum <= 50_000);
        }
        assertTrue(limit.endedCount() > 0);
    }
}
