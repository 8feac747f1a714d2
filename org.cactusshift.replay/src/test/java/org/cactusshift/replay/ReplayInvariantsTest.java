package org.cactusshift.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that the standard policy neither loses nor repeats non-repeatable requests and limits the crashes by one
 * fingerprint, on traces with reclaims, crashes and crash-inducing requests. */
class ReplayInvariantsTest {
    @ParameterizedTest
    @CsvSource({"BE_COAST, DOMAIN_LOSS, 21", "GH_SOUTH, DOMAIN_LOSS, 22", "GH_SOUTH, CRASHING_REQUEST, 23"})
    void nonRepeatableRequestsRunOnceAndAFingerprintCrashesAtMostTwoEngines(
            SiteProfile profile, Scenario scenario, long seed) {
        PolicyResult result = TraceReplayCommand.create()
                .setTrace(TraceGenerator.generate(profile, scenario, seed))
                .setPolicies(List.of(ReplayPolicy.STANDARD))
                .setSeed(seed)
                .call()
                .get()
                .results()
                .get(0);
        assertEquals(0, result.measure(PolicyResult.DUPLICATE_RUNS).orElseThrow());
        assertEquals(0, result.measure(PolicyResult.LOST_NON_REPEATABLE).orElseThrow());
        double crashed =
                result.measure(PolicyResult.ENGINES_CRASHED_BY_ONE_REQUEST).orElseThrow();
        assertTrue(crashed <= 2, crashed + " engine crashes by requests of one fingerprint, at most 2 are allowed");
        PolicyResult.Tally transfers = result.kinds().get("transfer");
        assertEquals(transfers.requests(), transfers.goodput(), "all transfers must complete in time");
    }
}
