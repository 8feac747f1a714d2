package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UpstreamRestTest {
    private final UpstreamRest rest = new UpstreamRest();

    @Test
    void upstreamThatAskedForNoneIsNotRestricted() {
        assertFalse(rest.lasts(0));
        assertTrue(rest.allowsRequest(1_000, 0));
    }

    @ParameterizedTest
    @CsvSource({"3000, 500, 3000", "500, 3000, 3100", "3000, 0, 3000"})
    void longestRestCounts(long firstMillis, long secondMillis, long expectedEndMillis) {
        rest.onAsked(firstMillis, 0);
        rest.onAsked(secondMillis, 100);
        assertEquals(expectedEndMillis, rest.endMillis());
        assertTrue(rest.lasts(expectedEndMillis - 1));
        assertFalse(rest.lasts(expectedEndMillis));
    }

    @Test
    void requestsAtATimeDoubleWithEachSuccessAfterTheEnd() {
        rest.onAsked(1_000, 0);
        rest.onSuccess(999);
        assertFalse(rest.allowsRequest(0, 999));
        assertTrue(rest.allowsRequest(0, 1_000));
        assertFalse(rest.allowsRequest(1, 1_000));
        rest.onSuccess(1_000);
        assertTrue(rest.allowsRequest(1, 1_100));
        assertFalse(rest.allowsRequest(2, 1_100));
        for (int i = 0; i < 6; i++) {
            rest.onSuccess(1_200);
        }
        assertTrue(rest.allowsRequest(1_000, 1_300));
    }
}
