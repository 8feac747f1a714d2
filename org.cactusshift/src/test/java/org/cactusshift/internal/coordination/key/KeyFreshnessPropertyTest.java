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

    /**
     * The longest time, in milliseconds, for which a revoked key may be accepted. Another node of the failure domain
     * learns of the revocation at the next heartbeat; its earlier report of no contact counts for the evidence time.
     */
    private static final long BOUND_MILLIS = Math.max(
            FreshnessSimulation.FRESHNESS_MILLIS,
            FreshnessSimulation.EVIDENCE_MILLIS + 2 * FreshnessSimulation.HEARTBEAT_MILLIS);

    @Property(tries = 6000, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void revokedKeyIsAcceptedNoLongerThanTheBound(@ForAll long seed) {
        FreshnessSimulation simulation = new FreshnessSimulation(seed, KeyFreshness::requiredReports);
        long longestMillis = simulation.runWithFaults(DURATION_MILLIS).orElse(0);

        assertTrue(longestMillis <= BOUND_MILLIS, () -> "accepted for " + longestMillis + " ms");
    }

    /**
     * Injected fault: nodes that do not respond count as evidence, so an isolated part of the site keeps accepting
     * keys.
     */
    @Example
    void checkerDetectsQuorumThatCountsMissingResponsesAsEvidence() {
        long detected = LongStream.range(0, 50)
                .map(seed -> new FreshnessSimulation(seed, (nodes, allNodes) -> 0)
                        .runWithFaults(DURATION_MILLIS)
                        .orElse(0))
                .filter(longestMillis -> longestMillis > BOUND_MILLIS)
                .count();

        assertTrue(detected > 0, "no seed reveals the injected fault");
    }

    @Property(tries = 200, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void longOutageStopsNoNodeEvenWithOneNodeDownInEachDomain(@ForAll long seed) {
        FreshnessSimulation simulation = new FreshnessSimulation(seed, KeyFreshness::requiredReports);
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
                assertTrue(!node.alive || simulation.acceptsKeys(node), node.id::value);
            }
        }
    }

    @Example
    void allNodesStopDuringOutageWhileADomainIsIsolatedAndResumeOnceItIsConnected() {
        FreshnessSimulation simulation = new FreshnessSimulation(1, KeyFreshness::requiredReports);
        run(simulation, 20);
        simulation.setStore(false);
        simulation.setConnected(0, false);
        run(simulation, 60);
        assertEquals(
                0, simulation.nodes().stream().filter(simulation::acceptsKeys).count());
        simulation.setConnected(0, true);
        run(simulation, 10);
        assertEquals(
                8, simulation.nodes().stream().filter(simulation::acceptsKeys).count());
    }

    private static void run(FreshnessSimulation simulation, int ticks) {
        for (int tick = 0; tick < ticks; tick++) {
            simulation.step();
        }
    }
}
