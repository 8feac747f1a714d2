package org.cactusshift.internal.coordination.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseBufferLimitTest {
    private static final int RESPONSES = 200;

    private final ResponseBufferLimit limit = ResponseBufferLimit.of(1_000_000);

    /** Guards against streams of bytes without end that fill the heap, each within the bound for one event. */
    @Test
    void responsesWithoutEndAreEndedBeforeTheyTakeMoreThanTheLimit() {
        List<ResponseBufferLimit.Account> endless = new ArrayList<>();
        for (int i = 0; i < RESPONSES; i++) {
            endless.add(limit.open());
        }
        ResponseBufferLimit.Account sound = limit.open();
        for (int held = 1_000; held <= 100_000; held += 1_000) {
            for (ResponseBufferLimit.Account response : List.copyOf(endless)) {
                if (!response.hold(held)) {
                    response.close();
                    endless.remove(response);
                }
                assertTrue(limit.bytes() <= 1_000_000 + 100_000, limit.bytes() + " bytes");
            }
            assertTrue(sound.hold(900), "a small response is ended");
        }
        sound.close();
        endless.forEach(ResponseBufferLimit.Account::close);
        assertEquals(0, limit.bytes());
    }

    @Test
    void oneResponseMayHoldTheWholeLimit() {
        ResponseBufferLimit.Account large = limit.open();
        assertTrue(large.hold(1_000_000));
        assertFalse(large.hold(1_000_001));
    }

    /** A stream whose event is complete holds less than before. */
    @Test
    void responseThatShrinksMayGoOn() {
        ResponseBufferLimit.Account large = limit.open();
        large.hold(2_000_000);
        assertTrue(large.hold(1_500_000));
    }
}
