package org.cactusshift.internal.coordination.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs a claim shard on simulated nodes, first with random faults and then without, and checks the history.
 */
class ClaimShardTest {
    private static final int STEPS = 150;
    /** Steps without faults, after the steps with faults. */
    private static final int HEALING_STEPS = 120;

    private static final int MAXIMUM_SEEDS = 300;

    @Property(tries = 3_000, seed = "4714", shrinking = ShrinkingMode.OFF)
    void noCallIsDispatchedTwiceAndNoKeyIsBlocked(@ForAll long seed) {
        ClaimSimulation simulation =
                new ClaimSimulation(seed, ClaimSimulation.InjectedFault.NONE).run(STEPS, HEALING_STEPS);
        assertEquals(List.of(), simulation.violations());
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void checkerDetectsInjectedFault(ClaimSimulation.InjectedFault fault) {
        boolean detected = false;
        for (long seed = 0; seed < MAXIMUM_SEEDS && !detected; seed++) {
            detected = !new ClaimSimulation(seed, fault)
                    .run(STEPS, HEALING_STEPS)
                    .violations()
                    .isEmpty();
        }
        assertTrue(detected);
    }
}
