package org.cactusshift.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the traces on which all expected outcomes are met; docs/design/routing.md lists the outcomes that are not met
 * on the other traces.
 */
class StatedOutcomesTest {
    private static final long TRACE_SEED = 20261203L;

    @ParameterizedTest
    @CsvSource({"BE_COAST, CRASHING_REQUEST", "BE_COAST, FLOOD", "GH_SOUTH, FLOOD", "BE_COAST, DOMAIN_LOSS"})
    void expectedOutcomesAreCheckedAndMet(SiteProfile profile, Scenario scenario) {
        ReplayReport report = TraceReplayCommand.create()
                .setTrace(TraceGenerator.generate(profile, scenario, TRACE_SEED))
                .setPolicies(List.of(ReplayPolicy.STANDARD, ReplayPolicy.ORACLE, ReplayPolicy.ALL_ON_DEMAND))
                .call()
                .get();
        List<OutcomeCheck> notMet = report.checks().stream()
                .filter(check -> !check.met().orElse(false))
                .toList();
        assertEquals(List.of(), notMet);
    }
}
