package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReadPacingTest {
    /** The number of values that one call returns at most. */
    private static final int PAGE_VALUES = 500;

    /**
     * Guards against nodes that all read all keys at once after a restore. The rows: nodes, failure domains, values in
     * the store, the time in which a change must be seen, and the reading calls that the store allows in a second.
     */
    @ParameterizedTest
    @CsvSource({
        "8, 4, 40, 2000, 2000",
        "85, 4, 250, 3000, 6000",
        "95, 6, 250, 4000, 16000",
        "1800, 22, 15600, 11000, 16000"
    })
    void listsOfAllNodesStayWithinTheRatesOfTheStore(
            int nodes, int domains, int values, long delayLimitMillis, int readsPerSecond) {
        ReadPacing pacing = ReadPacing.of(delayLimitMillis);
        int nodesOfADomain = (nodes + domains - 1) / domains;
        long calls = (long) nodes * ((values + PAGE_VALUES - 1) / PAGE_VALUES);
        // Calls within one second are counted by the store.
        double seconds = Math.max(1, pacing.listDelayMillis(nodesOfADomain - 1) / 1_000.0);
        assertTrue(calls / seconds <= readsPerSecond, calls + " calls in " + seconds + " s");
    }
}
