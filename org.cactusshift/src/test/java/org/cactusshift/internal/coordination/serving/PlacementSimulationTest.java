package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each seed is the last column of a case. */
class PlacementSimulationTest {
    private static final int SECONDS = 24;
    private static final int SETTLED_SECOND = 10;
    private static final double[] SPEEDS = {0.6, 1.0, 1.0, 1.6};

    private static PlacementSimulation run(
            int nodes, double requestsPerSecond, PlacementSimulation.WorkTime workTime, long seed) {
        return new PlacementSimulation(
                        nodes,
                        SPEEDS.length,
                        SECONDS,
                        workTime,
                        (upstream, now) -> 0,
                        PlacementSimulation::byPlacer,
                        seed)
                .run(requestsPerSecond);
    }

    /** Guards against an upstream that is shunned, or preferred, for an early or a chance result. */
    @ParameterizedTest
    @CsvSource({"2, 1", "2, 2", "67, 3", "67, 4", "1800, 5"})
    void equalUpstreamsGetEqualWork(int nodes, long seed) {
        PlacementSimulation simulation = run(nodes, 400, (upstream, running, now) -> 1, seed);
        for (double share : simulation.shares(0, SECONDS)) {
            assertEquals(0.25, share, 0.025, Arrays.toString(simulation.shares(0, SECONDS)));
        }
    }

    /** Guards against work that is not in proportion to speed, and against shares that oscillate. */
    @ParameterizedTest
    @CsvSource({"2, 1", "2, 2", "67, 3", "67, 4"})
    void unequalUpstreamsGetWorkInProportionWithoutOscillation(int nodes, long seed) {
        PlacementSimulation simulation = run(nodes, 400, (upstream, running, now) -> 1 / SPEEDS[upstream], seed);
        double[] shares = simulation.shares(SETTLED_SECOND, SECONDS);
        double total = Arrays.stream(SPEEDS).sum();
        for (int id = 0; id < SPEEDS.length; id++) {
            double expected = SPEEDS[id] / total;
            assertEquals(expected, shares[id], 0.15 * expected, Arrays.toString(shares));
            for (int second = SETTLED_SECOND; second < SECONDS; second++) {
                double share = simulation.shares(second, second + 1)[id];
                assertEquals(shares[id], share, 0.25 * shares[id], "second " + second + " at upstream " + id);
            }
        }
    }

    /** Guards against a speed that is kept although it has changed. */
    @ParameterizedTest
    @CsvSource({"2, 1", "67, 2"})
    void upstreamThatSpeedsUpGetsItsShareAgain(int nodes, long seed) {
        PlacementSimulation simulation =
                run(nodes, 400, (upstream, running, now) -> upstream == 0 && now < 8_000 ? 3 : 1, seed);
        assertTrue(simulation.shares(2, 8)[0] < 0.18, Arrays.toString(simulation.shares(2, 8)));
        assertEquals(0.25, simulation.shares(18, SECONDS)[0], 0.025);
    }

    /** Guards against an upstream that is loaded as the others although it slows down at half of its slots. */
    @ParameterizedTest
    @CsvSource({"2, 1", "2, 2", "67, 3"})
    void upstreamThatSlowsAtHalfOfItsSlotsGetsItsSustainableShare(int nodes, long seed) {
        PlacementSimulation simulation = new PlacementSimulation(
                        nodes,
                        SPEEDS.length,
                        SECONDS,
                        (upstream, running, now) -> upstream == 0 && 2 * running >= PlacementSimulation.SLOTS ? 2 : 1,
                        (upstream, now) -> 0,
                        PlacementSimulation::byPlacer,
                        seed)
                .run(500);
        double share = simulation.shares(SETTLED_SECOND, SECONDS)[0];
        double slots = PlacementSimulation.SLOTS / 2 - 1;
        assertEquals(slots / (slots + 3 * PlacementSimulation.SLOTS), share, 0.05);
    }

    /** Guards against requests that pile up at an upstream because it states that it is fast, or at the others. */
    @ParameterizedTest
    @CsvSource({"10, 1", "10000, 2"})
    void falseStatementHasBoundedEffect(int percent, long seed) {
        PlacementSimulation simulation = new PlacementSimulation(
                        2,
                        SPEEDS.length,
                        SECONDS,
                        (upstream, running, now) -> 1,
                        (upstream, now) -> upstream == 0 ? percent : 0,
                        PlacementSimulation::byPlacer,
                        seed)
                .run(400);
        double share = simulation.shares(SETTLED_SECOND, SECONDS)[0];
        assertTrue(share > 0.15 && share < 0.4, "share " + share);
    }

    /** Guards against placement that is worse than the usual simple rules where upstreams slow down at random. */
    @ParameterizedTest
    @CsvSource({"2, 1", "67, 2"})
    void latencyIsAtMostThatOfBaselinesWhereSpeedsDifferAndChange(int nodes, long seed) {
        PlacementSimulation.WorkTime workTime = (upstream, running, now) -> slowdown(upstream, now) / SPEEDS[upstream];
        double placer = latency(nodes, workTime, PlacementSimulation::byPlacer, seed);
        double leastOutstanding = latency(nodes, workTime, PlacementSimulationTest::leastOutstanding, seed);
        double twoChoices = latency(nodes, workTime, PlacementSimulationTest::twoChoices, seed);
        double fixedWeights = latency(nodes, workTime, PlacementSimulationTest::fixedWeights, seed);
        String figures = placer + " ms; " + leastOutstanding + ", " + twoChoices + ", " + fixedWeights;
        assertTrue(placer <= leastOutstanding && placer <= twoChoices && placer <= fixedWeights, figures);
    }

    /** Another quarter of the upstreams is slowed every 600 ms. */
    private static double slowdown(int upstream, long now) {
        return Math.floorMod((now / 600) * 7 + upstream * 3L, SPEEDS.length) == 0 ? 2.5 : 1;
    }

    private static double latency(
            int nodes, PlacementSimulation.WorkTime workTime, PlacementSimulation.Choice choice, long seed) {
        return new PlacementSimulation(
                        nodes,
                        SPEEDS.length,
                        SECONDS,
                        workTime,
                        (upstream, now) -> (int) Math.round(100 * slowdown(upstream, now)),
                        choice,
                        seed)
                .run(400)
                .averageLatencyMillis();
    }

    private static int leastOutstanding(ServingFixture node, long now) {
        int best = 0;
        for (int id = 1; id < SPEEDS.length; id++) {
            if (node.upstream("u" + id).totalRequests(now)
                    < node.upstream("u" + best).totalRequests(now)) {
                best = id;
            }
        }
        return best;
    }

    private static int twoChoices(ServingFixture node, long now) {
        int one = node.random.nextInt(SPEEDS.length);
        int other = node.random.nextInt(SPEEDS.length);
        return node.upstream("u" + one).totalRequests(now)
                        <= node.upstream("u" + other).totalRequests(now)
                ? one
                : other;
    }

    private static int fixedWeights(ServingFixture node, long now) {
        return node.random.nextInt(SPEEDS.length);
    }
}
