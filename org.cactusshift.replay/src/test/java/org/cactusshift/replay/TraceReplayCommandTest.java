package org.cactusshift.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TraceReplayCommandTest {
    private static final Trace TRACE = TraceGenerator.generate(SiteProfile.GH_SOUTH, Scenario.CRASHING_REQUEST, 11);

    @ParameterizedTest
    @ValueSource(strings = {"cactusshift", "least-outstanding", "oracle"})
    void sameSeedGivesSameReport(String policy) {
        assertEquals(replay(policy, 3).toJson(), replay(policy, 3).toJson());
    }

    @Test
    void differentSeedGivesDifferentResults() {
        assertNotEquals(
                replay("cactusshift", 3).results(), replay("cactusshift", 4).results());
    }

    @Test
    void countsEveryRequestExceptCrashInducingOnes() {
        PolicyResult result = replay("cactusshift", 3).results().get(0);
        long expected = TRACE.events().stream()
                .filter(event -> event instanceof TraceEvent.Request && !((TraceEvent.Request) event).crashes())
                .count();
        assertEquals(expected, result.measure(PolicyResult.REQUESTS).orElseThrow());
        assertTrue(result.measure(PolicyResult.GOODPUT).orElseThrow() > 0);
        assertTrue(result.measure(PolicyResult.GOODPUT).orElseThrow() <= expected);
    }

    @Test
    void failureNamesUnknownPolicy() {
        String failure = TraceReplayCommand.create()
                .setTrace(TRACE)
                .setPolicies(List.of("fastest"))
                .call()
                .getLeft()
                .toString();
        assertTrue(failure.contains("no policy is named fastest"), failure);
    }

    private static ReplayReport replay(String policy, long seed) {
        return TraceReplayCommand.create()
                .setTrace(TRACE)
                .setPolicies(List.of(policy))
                .setSeed(seed)
                .call()
                .get();
    }
}
