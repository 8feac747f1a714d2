package org.cactusshift.internal.coordination.roles;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the role planners and {@link DemandMeter}. */
class RolePlannerTest {
    private static final EngineRates RATES = new EngineRates(8_000, 800, 8_000);
    private static final TokenDemand PREFILL_HEAVY = new TokenDemand(40_000, 500);
    private static final TokenDemand DECODE_HEAVY = new TokenDemand(2_000, 4_000);

    private static List<EngineInRole> engines(int prefill, int decode, int mixed) {
        List<EngineInRole> engines = new ArrayList<>();
        add(engines, prefill, UpstreamConfig.Role.PREFILL);
        add(engines, decode, UpstreamConfig.Role.DECODE);
        add(engines, mixed, UpstreamConfig.Role.MIXED);
        return engines;
    }

    private static void add(List<EngineInRole> engines, int count, UpstreamConfig.Role role) {
        for (int i = 0; i < count; i++) {
            engines.add(new EngineInRole(
                    UpstreamId.fromString("engine-" + engines.size()),
                    FailureDomainId.fromString("ostend-a"),
                    role,
                    false,
                    0));
        }
    }

    private static RoleSnapshot snapshot(
            List<EngineInRole> engines, TokenDemand shortTermDemand, TokenDemand longTermDemand) {
        return new RoleSnapshot(engines, shortTermDemand, longTermDemand, RATES);
    }

    @Test
    void costBenefitPlannerChangesARoleWhenBothAveragesGain() {
        List<RoleChange> changes = CostBenefitRolePlanner.create(10)
                .plan(snapshot(engines(1, 7, 0), PREFILL_HEAVY, PREFILL_HEAVY), 600_000);
        assertEquals(1, changes.size());
        assertTrue(changes.get(0).expectedGainEngineSeconds() > 0);
        assertTrue(changes.get(0).role() != UpstreamConfig.Role.DECODE);
    }

    @ParameterizedTest
    @CsvSource({"true, false", "false, true"})
    void costBenefitPlannerChangesNothingWhenOnlyOneAverageGains(
            boolean isShortTermPrefillHeavy, boolean isLongTermPrefillHeavy) {
        List<EngineInRole> engines = engines(1, 7, 0);
        TokenDemand shortTermDemand = isShortTermPrefillHeavy ? PREFILL_HEAVY : DECODE_HEAVY;
        TokenDemand longTermDemand = isLongTermPrefillHeavy ? PREFILL_HEAVY : DECODE_HEAVY;
        assertEquals(
                List.of(),
                CostBenefitRolePlanner.create(10).plan(snapshot(engines, shortTermDemand, longTermDemand), 600_000));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3})
    void limitsChangesPerHour(int limit) {
        CostBenefitRolePlanner planner = CostBenefitRolePlanner.create(limit);
        int changes = 0;
        for (long nowMillis = 600_000; nowMillis < 4_000_000; nowMillis += 5_000) {
            changes += planner.plan(snapshot(engines(1, 7, 0), PREFILL_HEAVY, PREFILL_HEAVY), nowMillis)
                    .size();
        }
        assertEquals(limit, changes);
    }

    @Test
    void changesLessOftenThanThresholdPlannerWhenTheMixOscillates() {
        CostBenefitRolePlanner costBenefit = CostBenefitRolePlanner.create(100);
        ThresholdRolePlanner threshold = ThresholdRolePlanner.create();
        int costBenefitChanges = 0;
        int thresholdChanges = 0;
        for (int step = 0; step < 40; step++) {
            TokenDemand shortTermDemand = step / 4 % 2 == 0 ? PREFILL_HEAVY : DECODE_HEAVY;
            TokenDemand longTermDemand = new TokenDemand(21_000, 2_250);
            RoleSnapshot snapshot = snapshot(engines(0, 0, 8), shortTermDemand, longTermDemand);
            costBenefitChanges += costBenefit.plan(snapshot, step * 30_000L).size();
            thresholdChanges += threshold.plan(snapshot, step * 30_000L).size();
        }
        assertTrue(
                costBenefitChanges < thresholdChanges,
                "cost-benefit planner: " + costBenefitChanges + " changes, threshold planner: " + thresholdChanges);
    }

    @ParameterizedTest
    @CsvSource({"20000, 1000", "120000, 100"})
    void demandMeterMeasuresASteadyRate(long timeConstantMillis, long arrivals) {
        DemandMeter meter = DemandMeter.create(timeConstantMillis, 0);
        for (long i = 1; i <= arrivals; i++) {
            meter.onArrival(1_000, 50, i * 500);
        }
        TokenDemand demand = meter.demand(arrivals * 500);
        assertEquals(2_000, demand.promptTokensPerSecond(), 100);
        assertEquals(100, demand.outputTokensPerSecond(), 5);
    }
}
