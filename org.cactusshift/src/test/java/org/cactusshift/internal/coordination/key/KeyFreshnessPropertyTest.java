package org.cactusshift.internal.coordination.key;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cactusshift.internal.coordination.key.FreshnessSimulation.Node;

class KeyFreshnessPropertyTest {
    private static final long DURATION_MILLIS = 60_000;

    /** Another node of the domain hears at the next beat; its earlier word counts for a while. */
    private static final long BOUND_MILLIS = Math.max(
            FreshnessSimulation.FRESHNESS_MILLIS,
            FreshnessSimulation.EVIDENCE_MILLIS + 2 * FreshnessSimulation.HEARTBEAT_MILLIS);

    @Property(tries = 6000, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void withdrawnKeyIsHonouredNoLongerThanTheBound(@ForAll long seed) {
        FreshnessSimulation simulation = new FreshnessSimulation(seed, KeyFreshness::halfOfNodes);
        long worstMillis = simulation.runWithFaults(DURATION_MILLIS).orElse(0);

        assertTrue(worstMillis <= BOUND_MILLIS, () -> "honoured for " + worstMillis + " ms");
    }

    /** A planted fault: silent nodes count as evidence, so a part without the service goes on. */
    @Example
    void checkerCatchesRuleThatTakesSilenceForEvidence() {
        long caught = LongStream.range(0, 50)
                .map(seed -> new FreshnessSimulation(seed, (nodes, allNodes) -> 0)
                        .runWithFaults(DURATION_MILLIS)
                        .orElse(0))
                .filter(worstMillis -> worstMillis > BOUND_MILLIS)
                .count();

        assertTrue(caught > 0, "no schedule shows the fault");
    }

    @Property(tries = 200, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void longOutageStopsNobodyEvenWithOneNodeDownInEachDomain(@ForAll long seed) {
        FreshnessSimulation simulation = new FreshnessSimulation(seed, KeyFreshness::halfOfNodes);
        run(simulation, 20);
        simulation.setStore(false);
        Random random = new Random(seed);
        for (int domain = 0; domain < 4; domain++) {
            if (random.nextBoolean()) {
                simulation.setAlive(simulation.nodes().get(2 * domain + random.nextInt(2)), false);
            }
        }
        for (int tick = 0; tick < 600; tick++) {
            simulation.step();
            for (Node node : simulation.nodes()) {
                assertTrue(!node.alive || simulation.honours(node), node.id::value);
            }
        }
    }

    @Example
    void isolatedDomainStopsDuringOutageAndGoesOnAfterwards() {
        FreshnessSimulation simulation = new FreshnessSimulation(1, KeyFreshness::halfOfNodes);
        run(simulation, 20);
        simulation.setStore(false);
        simulation.isolate(0, false);
        run(simulation, 60);
        assertEquals(0, simulation.nodes().stream().filter(simulation::honours).count());
        simulation.isolate(0, true);
        run(simulation, 10);
        assertEquals(8, simulation.nodes().stream().filter(simulation::honours).count());
    }

    private static void run(FreshnessSimulation simulation, int ticks) {
        for (int tick = 0; tick < ticks; tick++) {
            simulation.step();
        }
    }
}
