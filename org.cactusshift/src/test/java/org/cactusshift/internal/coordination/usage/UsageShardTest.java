package org.cactusshift.internal.coordination.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class UsageShardTest {
    private static final int STEPS = 150;
    private static final int HEALING_STEPS = 150;
    private static final int SEEDS = 300;

    @Property(tries = 3_000, seed = "4713", shrinking = ShrinkingMode.OFF)
    void countsAreBilledAtMostOnceLostOnlyWithKilledNodesAndReportedUnchanged(@ForAll long seed) {
        UsageSimulation simulation =
                new UsageSimulation(seed, UsageSimulation.InjectedFault.NONE).run(STEPS, HEALING_STEPS);
        assertEquals(List.of(), simulation.violations());
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void checkerDetectsInjectedFault(UsageSimulation.InjectedFault injectedFault) {
        boolean detected = false;
        for (long seed = 0; seed < SEEDS && !detected; seed++) {
            detected = !new UsageSimulation(seed, injectedFault)
                    .run(STEPS, HEALING_STEPS)
                    .violations()
                    .isEmpty();
        }
        assertTrue(detected);
    }
}
