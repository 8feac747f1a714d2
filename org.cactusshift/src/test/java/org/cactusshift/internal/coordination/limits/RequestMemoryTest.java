package org.cactusshift.internal.coordination.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestMemoryTest {
    private final RequestMemory memory = RequestMemory.of(1_000);

    /** Guards against large requests after which no small one is taken any more. */
    @Test
    void largeRequestsLeaveRoomForSmallOnes() {
        while (memory.take(100)) {
            assertTrue(memory.bytes() <= 1_000);
        }
        assertEquals(700, memory.bytes());
        for (int i = 0; i < 100; i++) {
            assertTrue(memory.take(1));
        }
        assertEquals(1, memory.refusedCount());
    }

    @Test
    void totalStaysWithinTheLimit() {
        for (int size = 1_000; size > 0; size--) {
            while (memory.take(size)) {
                assertTrue(memory.bytes() <= 1_000);
            }
        }
        assertTrue(memory.take(0));
    }

    /** Guards against a request within the limits of the configuration that is refused for ever. */
    @Test
    void requestThatIsAloneMayTakeAll() {
        assertFalse(memory.take(1_001));
        assertTrue(memory.take(1_000));
        memory.release(1_000);
        assertTrue(memory.take(200));
        assertFalse(memory.take(201));
        assertEquals(200, memory.bytes());
    }
}
