package org.cactusshift.internal.coordination.lease;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cactusshift.internal.coordination.store.StoreCallKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks in virtual time, and prints, the rate of store calls for duties and how long a duty stays vacant after a kill.
 */
class DutyCostTest {
    private static final int WARM_UP_STEPS = 200;
    private static final int MEASURED_STEPS = 3_000;
    private static final int KILLS = 300;
    private static final LeaseTiming TIMING = LeaseTiming.ofTtl(DutySimulation.TTL_MILLIS);

    @ParameterizedTest
    @CsvSource({"8,28", "16,28", "32,28", "8,112"})
    void renewalsAndReadsDependOnNodesAndNotOnDuties(int nodes, int dutyCount) {
        DutySimulation simulation = new DutySimulation(1, nodes, duties(dutyCount));
        simulation.heal(WARM_UP_STEPS);
        simulation.drainCallCounts();
        long startMillis = simulation.nowMillis();
        simulation.heal(MEASURED_STEPS);
        Map<StoreCallKind, Long> calls = simulation.drainCallCounts();
        double seconds = (simulation.nowMillis() - startMillis) / 1_000.0;
        long renewals = calls.getOrDefault(StoreCallKind.LEASE_RENEWAL, 0L);
        long reads = calls.getOrDefault(StoreCallKind.LIST, 0L);
        System.out.printf(
                "%d nodes, %d duties: %.2f renewals/s, %.2f reads/s, other calls %d%n",
                nodes, dutyCount, renewals / seconds, reads / seconds, otherCalls(calls));
        double maxCallsPerNode = seconds * 1_000 / TIMING.renewalPeriodMillis() + 1;
        assertTrue(renewals <= nodes * maxCallsPerNode, renewals + " renewals");
        assertTrue(reads <= nodes * maxCallsPerNode, reads + " reads");
        assertTrue(otherCalls(calls) == 0, calls.toString());
    }

    @Test
    void dutyOfKilledHolderIsTakenOverWithinTtlPollPeriodAndRankDelay() {
        long totalVacantMillis = 0;
        long maxVacantMillis = 0;
        DutyId duty = DutyId.claim(0);
        for (int seed = 0; seed < KILLS; seed++) {
            DutySimulation simulation = new DutySimulation(seed, 8, Set.of(duty));
            simulation.heal(WARM_UP_STEPS + seed % 40);
            holder(simulation, duty).kill();
            long killedAtMillis = simulation.nowMillis();
            while (!hasHolder(simulation, duty)) {
                simulation.runWithoutFaults(1);
            }
            long vacantMillis = simulation.nowMillis() - killedAtMillis;
            totalVacantMillis += vacantMillis;
            maxVacantMillis = Math.max(maxVacantMillis, vacantMillis);
        }
        System.out.printf(
                "time to live %d ms: vacant after a kill for %d ms on average, %d ms at most, in %d runs%n",
                DutySimulation.TTL_MILLIS, totalVacantMillis / KILLS, maxVacantMillis, KILLS);
        // The last term covers six steps of the simulation, of up to 400 ms each, among them those of the lease grant,
        // the acquisition, their responses and the read.
        long boundMillis = TIMING.ttlMillis() + TIMING.pollPeriodMillis() + TIMING.delayPerRankMillis() + 6 * 400;
        assertTrue(maxVacantMillis <= boundMillis, maxVacantMillis + " ms");
    }

    private static boolean hasHolder(DutySimulation simulation, DutyId duty) {
        return simulation.nodes().stream()
                .anyMatch(node -> node.authority(duty, node.clockMillis()).isPresent());
    }

    private static SimulatedNode holder(DutySimulation simulation, DutyId duty) {
        return simulation.nodes().stream()
                .filter(node -> node.authority(duty, node.clockMillis()).isPresent())
                .findFirst()
                .orElseThrow();
    }

    private static long otherCalls(Map<StoreCallKind, Long> calls) {
        return calls.entrySet().stream()
                .filter(call -> call.getKey() != StoreCallKind.LEASE_RENEWAL && call.getKey() != StoreCallKind.LIST)
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    private static Set<DutyId> duties(int count) {
        Set<DutyId> duties = new HashSet<>();
        for (int shard = 0; shard < count; shard++) {
            duties.add(DutyId.claim(shard));
        }
        return duties;
    }
}
