package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Plays random schedules of nodes, store, engines and callers in virtual time and checks that no stream which is taken
 * up without a known origin goes on at another version than the one that began it.
 */
class StreamVersionScheduleTest {
    /** Played in CI; set the system property {@code schedule.seeds} for more. */
    private static final long SEEDS = Long.getLong("schedule.seeds", 300);

    @Test
    void noStreamIsJoinedFromTwoVersions() {
        long goneOn = 0;
        long takenUp = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            StreamVersionSchedule schedule = StreamVersionSchedule.play(seed, StreamVersionSchedule.Fault.NONE);
            assertEquals(0, schedule.joined(), "seed " + seed);
            goneOn += schedule.goneOn();
            takenUp += schedule.takenUp();
        }
        assertTrue(goneOn > takenUp / 10, goneOn + " of " + takenUp + " went on");
    }

    /** Shows that the check above notices each of these faults. */
    @ParameterizedTest
    @EnumSource(value = StreamVersionSchedule.Fault.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void plantedFaultIsNoticed(StreamVersionSchedule.Fault fault) {
        long joined = 0;
        for (long seed = 1; seed <= 300; seed++) {
            joined += StreamVersionSchedule.play(seed, fault).joined();
        }
        assertTrue(joined > 0);
    }
}
