package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.cactusshift.id.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SiteClockTest {
    private static final long START = 1_700_000_000_000L;
    private final SiteClock clock = new SiteClock();

    private void report(int node, long epochMillis, long nowMillis) {
        clock.onPeerTime(InstanceId.fromString("n" + node), epochMillis, nowMillis);
    }

    @ParameterizedTest
    @ValueSource(longs = {-60_000, -2_400, 2_400, 60_000})
    void jumpOfTheOwnClockHasNoEffect(long jumpMillis) {
        for (int node = 0; node < 3; node++) {
            report(node, START + 100, 100);
        }
        assertEquals(START + 200, clock.epochMillis(START + 200 + jumpMillis, 200));
    }

    @Test
    void jumpOfAMinorityOfThePeersHasNoEffect() {
        report(0, START + 100, 100);
        report(1, START + 100, 100);
        report(2, START + 100 + 2_400, 100);
        assertEquals(START + 150, clock.epochMillis(START + 150, 150));
    }

    @Test
    void ownClockIsUsedWithoutRecentReports() {
        report(0, START + 9_000, 0);
        assertEquals(START + 5_000, clock.epochMillis(START + 5_000, 5_000));
    }
}
