package org.cactusshift.internal.coordination.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cactusshift.internal.coordination.quota.QuotaSimulation.IntroducedFault;
import org.cactusshift.internal.coordination.quota.QuotaSimulation.Node;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against more than the quota in a window, and against refusals within it. */
class QuotaSimulationTest {
    private static final long DURATION_MILLIS = 50_000;

    private static AccountQuota quota(int nodes, double burstSeconds) {
        double rate = nodes > 1_000 ? 4_000_000 : 358_944;
        return new AccountQuota(rate, rate * burstSeconds, AccountQuota.Unit.TOKENS, 200);
    }

    /** Every 4 s on average one of the faults of a site happens. */
    private static void scheduleFaults(QuotaSimulation site) {
        for (long start = 9_000; start < DURATION_MILLIS; start += 1_000 + site.random.nextInt(6_000)) {
            int kind = site.random.nextInt(8);
            long lasts = 300 + site.random.nextInt(12_000);
            site.at(start, () -> {
                Node random = site.nodes.get(site.random.nextInt(site.nodes.size()));
                Node node = site.random.nextBoolean() ? site.coordinator() : random;
                switch (kind) {
                    case 0 -> loseAndRestart(site, node, lasts);
                    case 1 -> {
                        // Each restart is too short for another node to become the coordinator.
                        for (long after = 0; after <= lasts; after += 1_500) {
                            site.at(after, () -> loseAndRestart(site, node, 300));
                        }
                    }
                    case 2, 3 -> node.frozenUntilMillis = site.nowMillis + lasts;
                    case 4 -> cut(site, node, lasts, false);
                    case 5 -> cut(site, node, lasts, true);
                    case 6 -> site.addNode();
                    default -> {
                        site.lossRate = 0.2;
                        site.at(lasts, () -> site.lossRate = 0);
                    }
                }
            });
        }
    }

    private static void loseAndRestart(QuotaSimulation site, Node node, long afterMillis) {
        if (node.alive) {
            site.kill(node);
            site.at(afterMillis, node::start);
        }
    }

    private static void cut(QuotaSimulation site, Node one, long lastsMillis, boolean half) {
        for (Node node : site.nodes) {
            node.group = node == one || (half && site.random.nextBoolean()) ? 1 : 0;
        }
        site.at(lastsMillis, () -> site.nodes.forEach(node -> node.group = 0));
    }

    private static QuotaSimulation play(
            int nodes, int nodeBound, double burstSeconds, IntroducedFault fault, long seed) {
        QuotaSimulation site = QuotaSimulation.start(nodes, quota(nodes, burstSeconds), fault, seed);
        site.demand(10, nodeBound);
        scheduleFaults(site);
        site.run(DURATION_MILLIS);
        return site;
    }

    @ParameterizedTest
    @CsvSource({
        "8, 8, 1, 30",
        "8, 2, 1, 30",
        "8, 8, 4, 30",
        "84, 84, 1, 40",
        "84, 5, 1, 40",
        "84, 84, 4, 10",
        "1800, 1800, 1, 2",
        "1800, 9, 1, 2"
    })
    void noWindowExceedsTheQuota(int nodes, int nodeBound, double burstSeconds, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            double largest = play(nodes, nodeBound, burstSeconds, IntroducedFault.NONE, seed)
                    .largestWindow();
            assertTrue(largest <= 1, "seed " + seed + ": " + largest + " of what the rule allows");
        }
    }

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NONE", "QUARTER_RATE"})
    void introducedFaultIsFound(IntroducedFault fault) {
        double largest = 0;
        for (long seed = 1; seed <= 40 && largest <= 1; seed++) {
            largest = play(8, 8, 1, fault, seed).largestWindow();
        }
        assertTrue(largest > 1, fault + " was not found: " + largest);
    }

    private static long refusedWithinQuota(int nodes, int nodeBound, IntroducedFault fault) {
        QuotaSimulation site = QuotaSimulation.start(nodes, quota(nodes, 1), fault, 1);
        long warmUpMillis = 2 * QuotaSite.silenceMillis(nodes);
        site.run(warmUpMillis);
        site.demand(0.6, nodeBound);
        site.run(warmUpMillis + 20_000);
        return site.refused;
    }

    @ParameterizedTest
    @CsvSource({"8, 8", "8, 2", "84, 84", "84, 5", "1800, 1800"})
    void requestsWithinTheQuotaAreNotRefused(int nodes, int nodeBound) {
        assertEquals(0, refusedWithinQuota(nodes, nodeBound, IntroducedFault.NONE));
        assertTrue(refusedWithinQuota(nodes, nodeBound, IntroducedFault.QUARTER_RATE) > 0);
    }

    /** Guards against credit that is lost on the way: a site without faults admits what the quota allows. */
    @ParameterizedTest
    @CsvSource({"8, 8", "8, 2", "84, 84", "84, 5"})
    void overloadedAccountGetsItsQuota(int nodes, int nodeBound) {
        QuotaSimulation site = QuotaSimulation.start(nodes, quota(nodes, 1), IntroducedFault.NONE, 1);
        site.demand(10, nodeBound);
        site.run(30_000);
        double part = site.admittedSince(10_000) / (quota(nodes, 1).ratePerSecond() * 20);
        assertTrue(part > 0.95 && part < 1.05, "admitted " + part);
    }
}
