package org.cactusshift.internal.coordination.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConnectionReuseTest {
    private static final String ADDRESS = "10.0.0.1:80";

    /** The rows: the time between mismatches, their number, and whether connections are kept after the last one. */
    @ParameterizedTest
    @CsvSource({"100, 3, true", "100, 4, false", "2500, 4, false", "5000, 40, true", "11000, 4, true"})
    void connectionsAreKeptUnlessMismatchesAreFrequent(long gapMillis, int mismatches, boolean kept) {
        ConnectionReuse reuse = ConnectionReuse.create();
        long nowMillis = 0;
        for (int i = 0; i < mismatches; i++) {
            nowMillis += gapMillis;
            reuse.onMismatch(ADDRESS, nowMillis);
        }
        assertEquals(kept, reuse.isAllowed(ADDRESS, nowMillis));
        assertTrue(reuse.isAllowed("10.0.0.2:80", nowMillis));
    }

    @ParameterizedTest
    @CsvSource({"9999, false", "10000, true"})
    void connectionsAreKeptAgainAfterAWhile(long afterMillis, boolean kept) {
        ConnectionReuse reuse = ConnectionReuse.create();
        for (int i = 0; i < 3; i++) {
            assertFalse(reuse.onMismatch(ADDRESS, 1_000));
        }
        assertTrue(reuse.onMismatch(ADDRESS, 1_000));
        assertFalse(reuse.onMismatch(ADDRESS, 1_000));
        reuse.removeExpired(1_000 + afterMillis);
        assertEquals(kept, reuse.isAllowed(ADDRESS, 1_000 + afterMillis));
    }
}
