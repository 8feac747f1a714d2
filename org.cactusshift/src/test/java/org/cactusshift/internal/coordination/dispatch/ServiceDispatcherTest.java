package org.cactusshift.internal.coordination.dispatch;

import static org.cactusshift.internal.coordination.dispatch.DispatchFixture.dispatched;
import static org.cactusshift.internal.coordination.dispatch.DispatchFixture.dispatcher;
import static org.cactusshift.internal.coordination.dispatch.DispatchFixture.refused;
import static org.cactusshift.internal.coordination.dispatch.DispatchFixture.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.internal.coordination.quarantine.CrashSuspectReport;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class ServiceDispatcherTest {
    /** A time at which nodes have exchanged the suspects of a crash at time 0. */
    private static final long SUSPECTS_EXCHANGED_MILLIS = 2_000;

    private static final AttemptEnd SILENT_END = new AttemptEnd(AttemptEnd.Outcome.SILENT, 0, 0);

    @ParameterizedTest
    @CsvSource({
        "PLAIN, false, NOT_RUN, true",
        "PLAIN, false, NOT_SENT, true",
        "PLAIN, false, CRASHED, false",
        "PLAIN, false, SILENT, false",
        "PLAIN, true, CRASHED, true",
        "PLAIN, true, SILENT, true",
        "MODEL, true, CRASHED, true",
        "MODEL, false, CRASHED, false"
    })
    void retriesOnlyRequestsThatMayRunAgain(
            ServiceConfig.Kind kind, boolean repeatable, AttemptEnd.Outcome outcome, boolean retried) {
        ServiceDispatcher dispatcher = dispatcher(kind, 3);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, repeatable), 0));

        List<DispatchDecision> after =
                new ArrayList<>(dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(outcome, 0, 0), 10));
        after.addAll(dispatcher.onTick(SUSPECTS_EXCHANGED_MILLIS));

        if (retried) {
            assertNotEquals(first.attempt(), dispatched(after).attempt());
        } else {
            assertTrue(refused(after).mayHaveRun());
            assertEquals(DispatchDecision.Reason.UPSTREAM_LOST, refused(after).reason());
        }
    }

    @Test
    void resumesAfterDeliveredTokens() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 3);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, true), 0));
        assertFalse(first.resume());
        dispatcher.onProgress(first.attempt(), 7, 5);

        dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 400, 7), 10);
        DispatchDecision.Dispatch second = dispatched(dispatcher.onTick(SUSPECTS_EXCHANGED_MILLIS));

        assertTrue(second.resume());
        assertNotEquals(first.upstream(), second.upstream());
    }

    @Test
    void refusesRequestWithExpiredDeadline() {
        DispatchDecision.Refuse refuse =
                refused(dispatcher(ServiceConfig.Kind.MODEL, 1).submit(request("r1", "fonds", 5, true), 5));
        assertEquals(DispatchDecision.Reason.DEADLINE, refuse.reason());
        assertFalse(refuse.mayHaveRun());
        assertTrue(refuse.retryAfterMillis() > 0);
    }

    @ParameterizedTest
    @EnumSource(AttemptEnd.Outcome.class)
    void releasesUpstreamForEveryOutcome(AttemptEnd.Outcome outcome) {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.PLAIN, 1);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 1_000, false), 0));
        assertEquals(1, dispatcher.openAttempts(first.upstream()));

        dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(outcome, 0, 0), 2_000);

        assertEquals(0, dispatcher.openAttempts(first.upstream()));
        assertEquals(0, dispatcher.accountTotals().get(0).requestsInFlight());
    }

    @Test
    void sendsNothingToExcludedUpstream() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 1);
        dispatcher.onExclusionChanged(DispatchFixture.upstreams(1).get(0).id(), true, 0);
        assertEquals(List.of(), dispatcher.submit(request("r1", "fonds", 1_000, true), 1));
        assertEquals(
                "r1",
                dispatched(dispatcher.onExclusionChanged(
                                DispatchFixture.upstreams(1).get(0).id(), false, 2))
                        .request()
                        .value());
    }

    @Test
    void neverSendsSuspectToLastWorkingUpstream() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 2);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, true), 0));

        List<DispatchDecision> after =
                dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 10);

        assertEquals(List.of(), after);
        // The crashed upstream is probed with the suspect; the working one is spared.
        assertEquals(first.upstream(), dispatched(dispatcher.onTick(5_000)).upstream());
    }

    @Test
    void quarantinesFingerprintAfterSecondCrash() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 4);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, true), 0));
        dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 10);
        DispatchDecision.Dispatch second = dispatched(dispatcher.onTick(SUSPECTS_EXCHANGED_MILLIS));

        DispatchDecision.Refuse refuse = refused(
                dispatcher.onAttemptEnd(second.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 2_010));

        assertEquals(DispatchDecision.Reason.QUARANTINED, refuse.reason());
        assertTrue(refuse.mayHaveRun());
        DispatchDecision.Refuse again = refused(dispatcher.submit(request("r1", "fonds", 60_000, true), 2_020));
        assertEquals(DispatchDecision.Reason.QUARANTINED, again.reason());
        assertFalse(again.mayHaveRun());
    }

    @Test
    void keepsOnlyCrashingRequestSuspectAfterSharedCrash() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 4);
        for (int i = 1; i < 4; i++) {
            dispatcher.onExclusionChanged(DispatchFixture.upstreams(4).get(i).id(), true, 0);
        }
        DispatchDecision.Dispatch crashing = dispatched(dispatcher.submit(request("g", "fonds", 60_000, true), 0));
        DispatchDecision.Dispatch other = dispatched(dispatcher.submit(request("i", "crew", 60_000, true), 0));
        for (int i = 1; i < 4; i++) {
            dispatcher.onExclusionChanged(DispatchFixture.upstreams(4).get(i).id(), false, 1);
        }
        AttemptEnd crash = new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0);
        dispatcher.onAttemptEnd(crashing.attempt(), crash, 10);
        dispatcher.onAttemptEnd(other.attempt(), crash, 10);

        List<DispatchDecision.Dispatch> again = dispatcher.onTick(SUSPECTS_EXCHANGED_MILLIS).stream()
                .map(DispatchDecision.Dispatch.class::cast)
                .toList();
        assertEquals(2, again.size());
        assertNotEquals(again.get(0).upstream(), again.get(1).upstream());
        for (DispatchDecision.Dispatch attempt : again) {
            boolean isCrashing = attempt.request().value().equals("g");
            AttemptEnd end = isCrashing ? crash : new AttemptEnd(AttemptEnd.Outcome.COMPLETED, 400, 9);
            dispatcher.onAttemptEnd(attempt.attempt(), end, 2_010);
        }

        assertEquals(
                List.of((long) "g".hashCode()),
                dispatcher.crashSuspects(2_020).stream()
                        .map(CrashSuspectReport::fingerprint)
                        .toList());
    }

    @Test
    void sendsNoOtherRequestToReservedUpstream() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 3);
        dispatcher.onRemoteCrashSuspect("s".hashCode(), 1, 0);
        DispatchDecision.Dispatch suspect = dispatched(dispatcher.submit(request("s", "fonds", 60_000, true), 0));
        for (int i = 0; i < 20; i++) {
            DispatchDecision.Dispatch other = dispatched(dispatcher.submit(request("o" + i, "crew", 60_000, true), 10));
            assertNotEquals(suspect.upstream(), other.upstream());
        }
    }

    @Test
    void refusesSuspectLongBeforeDeadlineWhenOneUpstreamIsLeft() {
        long deadlineMillis = 60_000;
        long refusalLimitMillis = 5_000;
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 2);
        DispatchDecision.Dispatch first =
                dispatched(dispatcher.submit(request("r1", "fonds", deadlineMillis, true), 0));
        AttemptEnd crash = new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0);
        dispatcher.onAttemptEnd(first.attempt(), crash, 10);

        List<DispatchDecision> decisions = List.of();
        for (long nowMillis = 20; !isRefusal(decisions); nowMillis += 20) {
            assertTrue(nowMillis < refusalLimitMillis, "suspect not yet refused at " + nowMillis);
            decisions = new ArrayList<>(dispatcher.onTick(nowMillis));
            if (!decisions.isEmpty() && decisions.get(0) instanceof DispatchDecision.Dispatch probe) {
                AttemptEnd gone = new AttemptEnd(AttemptEnd.Outcome.NOT_SENT, 0, 0);
                decisions = dispatcher.onAttemptEnd(probe.attempt(), gone, nowMillis);
            }
        }

        assertEquals(DispatchDecision.Reason.NO_UPSTREAM, refused(decisions).reason());
        assertTrue(refused(decisions).mayHaveRun());
        assertTrue(refused(decisions).retryAfterMillis() > 0);
    }

    private static boolean isRefusal(List<DispatchDecision> decisions) {
        return !decisions.isEmpty() && decisions.get(0) instanceof DispatchDecision.Refuse;
    }

    @ParameterizedTest
    @CsvSource({"1, SUSPECT", "2, REFUSED"})
    void suspectsOrRefusesRequestByCrashesAtOtherNodes(int crashes, Quarantine.Verdict verdict) {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 3);
        dispatcher.onRemoteCrashSuspect("r1".hashCode(), crashes, 0);
        List<DispatchDecision> decisions = dispatcher.submit(request("r1", "fonds", 60_000, true), 1);
        if (verdict == Quarantine.Verdict.REFUSED) {
            assertEquals(DispatchDecision.Reason.QUARANTINED, refused(decisions).reason());
            assertFalse(refused(decisions).mayHaveRun());
        } else {
            assertEquals("r1", dispatched(decisions).request().value());
        }
    }

    @Test
    void keepsNonRepeatableRequestsOffReclaimableUpstreams() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.PLAIN, 0);
        dispatcher.onConfig(List.of(), DispatchFixture.halfReclaimable(4), 0);
        for (int i = 0; i < 20; i++) {
            String upstream = dispatched(dispatcher.submit(request("r" + i, "fonds", 60_000, false), 1))
                    .upstream()
                    .value();
            assertTrue(List.of("engine-0", "engine-2").contains(upstream), upstream);
        }
    }

    @Test
    void suspectsNoRequestWhenExcludedUpstreamIsLost() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 3);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, true), 0));
        dispatcher.onExclusionChanged(first.upstream(), true, 5);

        DispatchDecision.Dispatch second = dispatched(
                dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 10));

        assertNotEquals(first.upstream(), second.upstream());
        assertEquals(List.of(), dispatcher.crashSuspects(20));
    }

    /** Why a silent attempt can't be replaced. */
    enum Obstacle {
        NON_REPEATABLE,
        NO_OTHER_UPSTREAM,
        NO_RETRY_BUDGET,
        DEADLINE,
        SUSPECT
    }

    /** Guards against ending an attempt at a silent upstream before its replacement is granted. */
    @ParameterizedTest
    @EnumSource(Obstacle.class)
    void silentAttemptStaysOpenWhileItCanNotBeReplaced(Obstacle obstacle) {
        double retryBudgetRatio = obstacle == Obstacle.NO_RETRY_BUDGET ? 0 : 0.2;
        ServiceDispatcher dispatcher = ServiceDispatcher.create(
                new DispatcherOptions(IncarnationId.fromString("n1"), ServiceConfig.Kind.MODEL, 100, retryBudgetRatio),
                new Random(DispatchFixture.SEED));
        int upstreamCount = obstacle == Obstacle.NO_OTHER_UPSTREAM ? 1 : 3;
        dispatcher.onConfig(List.of(DispatchFixture.account("fonds", 1)), DispatchFixture.upstreams(upstreamCount), 0);
        boolean repeatable = obstacle != Obstacle.NON_REPEATABLE;
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, repeatable), 0));
        if (obstacle == Obstacle.SUSPECT) {
            dispatcher.onRemoteCrashSuspect("r1".hashCode(), 1, 1);
        }
        long silentMillis = obstacle == Obstacle.DEADLINE ? 60_000 : 5_000;

        // Asked again while the silence lasts, until after the upstream may be probed.
        for (long nowMillis = silentMillis; nowMillis < silentMillis + 5_000; nowMillis += 100) {
            assertEquals(List.of(), dispatcher.replaceSilent(first.attempt(), SILENT_END, nowMillis));
        }

        assertEquals(1, dispatcher.openAttempts(first.upstream()));
        dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(AttemptEnd.Outcome.COMPLETED, 400, 9), 70_000);
        assertEquals(0, dispatcher.accountTotals().get(0).requestsInFlight());
    }

    /** Guards against granting more replacements than the retry budget has retries. */
    @Test
    void eachReplacementOfASilentAttemptTakesARetry() {
        int reserve = 50;
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 2);
        dispatcher.onExclusionChanged(DispatchFixture.upstreams(2).get(1).id(), true, 0);
        List<DispatchDecision.Dispatch> silent = new ArrayList<>();
        for (int i = 0; i <= reserve; i++) {
            silent.add(dispatched(dispatcher.submit(request("r" + i, "fonds", 60_000, true), 0)));
        }
        dispatcher.onExclusionChanged(DispatchFixture.upstreams(2).get(1).id(), false, 1);
        dispatcher.onProgress(silent.get(0).attempt(), 7, 5);

        for (int i = 0; i < reserve; i++) {
            DispatchDecision.Dispatch replacement =
                    dispatched(dispatcher.replaceSilent(silent.get(i).attempt(), SILENT_END, 5_000));
            assertEquals(silent.get(i).request(), replacement.request());
            assertNotEquals(silent.get(i).upstream(), replacement.upstream());
            assertEquals(i == 0, replacement.resume());
        }

        assertEquals(List.of(), dispatcher.replaceSilent(silent.get(reserve).attempt(), SILENT_END, 5_000));
        assertEquals(1, dispatcher.openAttempts(silent.get(0).upstream()));
        // The end of a replaced attempt is not counted again.
        assertEquals(List.of(), dispatcher.onAttemptEnd(silent.get(0).attempt(), SILENT_END, 5_001));
    }

    /** Guards against sending new requests to a silent upstream because its attempt is kept open. */
    @Test
    void silentUpstreamGetsNoNewRequestsWhileItsAttemptStaysOpen() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.PLAIN, 2);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, false), 0));
        assertEquals(List.of(), dispatcher.replaceSilent(first.attempt(), SILENT_END, 5_000));
        for (int i = 0; i < 20; i++) {
            DispatchDecision.Dispatch other =
                    dispatched(dispatcher.submit(request("o" + i, "crew", 60_000, false), 5_001));
            assertNotEquals(first.upstream(), other.upstream());
        }
    }
}
