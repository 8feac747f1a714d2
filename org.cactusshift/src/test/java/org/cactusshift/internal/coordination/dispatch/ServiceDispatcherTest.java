package org.cactusshift.internal.coordination.dispatch;

import static org.cactusshift.internal.coordination.dispatch.DispatchFixture.dispatched;
import static org.cactusshift.internal.coordination.dispatch.DispatchFixture.dispatcher;
import static org.cactusshift.internal.coordination.dispatch.DispatchFixture.refused;
import static org.cactusshift.internal.coordination.dispatch.DispatchFixture.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cactusshift.config.ServiceConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class ServiceDispatcherTest {
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
    void sendsAgainOnlyWhatMayRunAgain(
            ServiceConfig.Kind kind, boolean repeatable, AttemptEnd.Outcome outcome, boolean sentAgain) {
        ServiceDispatcher dispatcher = dispatcher(kind, 3);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, repeatable), 0));

        List<DispatchDecision> after = dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(outcome, 0, 0), 10);

        if (sentAgain) {
            assertNotEquals(first.attempt(), dispatched(after).attempt());
        } else {
            assertTrue(refused(after).mayHaveRun());
            assertEquals(DispatchDecision.Reason.UPSTREAM_LOST, refused(after).reason());
        }
    }

    @Test
    void resumesAfterTheTokensDelivered() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 3);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, true), 0));
        assertFalse(first.resume());
        dispatcher.onProgress(first.attempt(), 7, 5);

        DispatchDecision.Dispatch second = dispatched(
                dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 400, 7), 10));

        assertTrue(second.resume());
        assertNotEquals(first.upstream(), second.upstream());
    }

    @Test
    void refusesAtOnceWhenTheDeadlineHasPassed() {
        DispatchDecision.Refuse refuse =
                refused(dispatcher(ServiceConfig.Kind.MODEL, 1).submit(request("r1", "fonds", 5, true), 5));
        assertEquals(DispatchDecision.Reason.DEADLINE, refuse.reason());
        assertFalse(refuse.mayHaveRun());
        assertTrue(refuse.retryAfterMillis() > 0);
    }

    @ParameterizedTest
    @EnumSource(AttemptEnd.Outcome.class)
    void freesTheUpstreamWhateverTheOutcome(AttemptEnd.Outcome outcome) {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.PLAIN, 1);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 1_000, false), 0));
        assertEquals(1, dispatcher.inFlight(first.upstream()));

        dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(outcome, 0, 0), 2_000);

        assertEquals(0, dispatcher.inFlight(first.upstream()));
        assertEquals(0, dispatcher.serviceSinceStart().get(0).requestsInFlight());
    }

    @Test
    void sendsNothingToALeavingUpstream() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 1);
        dispatcher.onLeaving(DispatchFixture.upstreams(1).get(0).id(), true, 0);
        assertEquals(List.of(), dispatcher.submit(request("r1", "fonds", 1_000, true), 1));
        assertEquals(
                "r1",
                dispatched(dispatcher.onLeaving(
                                DispatchFixture.upstreams(1).get(0).id(), false, 2))
                        .request()
                        .value());
    }

    @Test
    void neverSendsASuspectToTheLastWorkingUpstream() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 2);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, true), 0));

        List<DispatchDecision> after =
                dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 10);

        assertEquals(List.of(), after);
        assertEquals(first.upstream(), dispatched(dispatcher.onTime(5_000)).upstream());
    }

    @Test
    void refusesAFingerprintAfterItsSecondCrash() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 4);
        DispatchDecision.Dispatch first = dispatched(dispatcher.submit(request("r1", "fonds", 60_000, true), 0));
        DispatchDecision.Dispatch second = dispatched(
                dispatcher.onAttemptEnd(first.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 10));

        DispatchDecision.Refuse refuse = refused(
                dispatcher.onAttemptEnd(second.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 20));

        assertEquals(DispatchDecision.Reason.QUARANTINED, refuse.reason());
        assertTrue(refuse.mayHaveRun());
        DispatchDecision.Refuse again = refused(dispatcher.submit(request("r1", "fonds", 60_000, true), 30));
        assertEquals(DispatchDecision.Reason.QUARANTINED, again.reason());
        assertFalse(again.mayHaveRun());
    }

    @Test
    void clearsInnocentRequestsThatSharedACrash() {
        ServiceDispatcher dispatcher = dispatcher(ServiceConfig.Kind.MODEL, 4);
        dispatcher.onLeaving(DispatchFixture.upstreams(4).get(1).id(), true, 0);
        dispatcher.onLeaving(DispatchFixture.upstreams(4).get(2).id(), true, 0);
        dispatcher.onLeaving(DispatchFixture.upstreams(4).get(3).id(), true, 0);
        DispatchDecision.Dispatch guilty = dispatched(dispatcher.submit(request("g", "fonds", 60_000, true), 0));
        DispatchDecision.Dispatch innocent = dispatched(dispatcher.submit(request("i", "crew", 60_000, true), 0));
        for (int i = 1; i < 4; i++) {
            dispatcher.onLeaving(DispatchFixture.upstreams(4).get(i).id(), false, 1);
        }

        DispatchDecision.Dispatch guiltyAgain = dispatched(
                dispatcher.onAttemptEnd(guilty.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 10));
        assertEquals(
                List.of(),
                dispatcher.onAttemptEnd(innocent.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 10));
        DispatchDecision.Dispatch innocentAgain = dispatched(
                dispatcher.onAttemptEnd(guiltyAgain.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 20));
        assertEquals("i", innocentAgain.request().value());
        dispatcher.onAttemptEnd(innocentAgain.attempt(), new AttemptEnd(AttemptEnd.Outcome.COMPLETED, 400, 9), 30);

        assertEquals(
                List.of((long) "g".hashCode()),
                dispatcher.suspects(40).stream()
                        .map(suspect -> suspect.fingerprint())
                        .toList());
    }
}
