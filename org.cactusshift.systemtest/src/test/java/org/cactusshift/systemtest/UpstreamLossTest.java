package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.cactusshift.standin.ReceivedRequest;
import org.cactusshift.standin.StandInPlainService;
import org.cactusshift.standin.engine.StandInEngine;
import org.cactusshift.systemtest.CallResult.Outcome;
import org.cactusshift.systemtest.TrafficCall.Kind;
import org.junit.jupiter.api.Test;

/** Crashes upstreams, stalls their connections and marks them as leaving while the site is under traffic. */
class UpstreamLossTest extends FaultTest {
    private static final long REMOVAL_LIMIT_MILLIS = 5_000;

    private static final long RESPONSE_DELAY_MILLIS = 1_000;

    private static final Set<Kind> CHAT_KINDS = Set.of(Kind.STREAMED_CHAT, Kind.WHOLE_CHAT);

    private static final Set<Outcome> FAILED_OUTCOMES =
            Set.of(Outcome.LOST, Outcome.UNKNOWN, Outcome.ENDED_EARLY, Outcome.NOT_RUN);

    @Test
    void streamsOfCrashedEngineAreResumed() throws Exception {
        StandInEngine engine = awaitBusyEngine();
        engine.crash();
        traffic.awaitAnswered(Kind.STREAMED_CHAT, AWAITED_CALLS);
        engine.start();
        traffic.awaitAnswered(Kind.STREAMED_CHAT, AWAITED_CALLS);
        TrafficChecks checks = finish();
        assertEquals(
                List.of(), checks.resultsOf(CHAT_KINDS, FAILED_OUTCOMES), "chats that failed because of the crash");
        checks.assertUsageEqualsServed();
    }

    @Test
    void streamsOnStalledConnectionsAreResumed() throws Exception {
        awaitBusyEngine().faults().stallOpenConnections();
        traffic.awaitAnswered(Kind.STREAMED_CHAT, 2 * AWAITED_CALLS);
        traffic.awaitAnswered(Kind.WHOLE_CHAT, AWAITED_CALLS);
        TrafficChecks checks = finish();
        assertEquals(
                List.of(),
                checks.resultsOf(CHAT_KINDS, FAILED_OUTCOMES),
                "chats that failed because of the stalled connections");
        checks.assertUsageEqualsServed();
    }

    @Test
    void payoutOnStalledConnectionIsUnknownAndRunsOnce() throws Exception {
        List<StandInPlainService> services = site.platform().plainInstances();
        services.forEach(service -> service.faults().setDelayMillis(RESPONSE_DELAY_MILLIS));
        long delayedFromMillis = System.currentTimeMillis();
        BoundedWait.until(
                "a payout whose response is delayed",
                () -> services.stream().anyMatch(service -> hasOpenPayout(service, delayedFromMillis)));
        services.forEach(service -> service.faults().stallOpenConnections());
        services.forEach(service -> service.faults().clear());
        traffic.awaitAnswered(Kind.PAYOUT, 2 * AWAITED_CALLS);
        TrafficChecks checks = finish();
        assertEquals(
                false,
                checks.resultsOf(Set.of(Kind.PAYOUT), Set.of(Outcome.UNKNOWN)).isEmpty(),
                "unknown payouts");
        assertEquals(List.of(), checks.resultsOf(Set.of(Kind.PAYOUT), Set.of(Outcome.LOST)), "lost payouts");
    }

    @Test
    void leavingUpstreamReceivesNoNewRequests() throws Exception {
        StandInEngine engine = awaitBusyEngine();
        site.platform().instanceList().markLeaving(engine.settings().engineId());
        long limitMillis = System.currentTimeMillis() + REMOVAL_LIMIT_MILLIS;
        BoundedWait.until("the end of the time limit", () -> System.currentTimeMillis() > limitMillis);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, 2 * AWAITED_CALLS);
        TrafficChecks checks = finish();
        assertEquals(
                List.of(),
                engine.log().matching(request -> isChat(request) && request.receivedAtMillis() > limitMillis),
                "requests after the time limit");
        checks.assertNoCallInterrupted();
        checks.assertUsageEqualsServed();
    }

    private StandInEngine awaitBusyEngine() throws InterruptedException {
        BoundedWait.until(
                "a busy engine", () -> site.platform().engines().stream().anyMatch(UpstreamLossTest::isBusy));
        return site.platform().engines().stream()
                .filter(UpstreamLossTest::isBusy)
                .findFirst()
                .orElse(site.platform().engines().get(0));
    }

    private static boolean isBusy(StandInEngine engine) {
        return !engine.log()
                .matching(request -> isChat(request) && request.outcome() == ReceivedRequest.Outcome.RUNNING)
                .isEmpty();
    }

    private static boolean isChat(ReceivedRequest request) {
        return request.path().startsWith("/v1/chat");
    }

    /** Returns whether a payout ran after responses began to be delayed and its response is still pending. */
    private static boolean hasOpenPayout(StandInPlainService service, long delayedFromMillis) {
        long earliestMillis = Math.max(delayedFromMillis, System.currentTimeMillis() - RESPONSE_DELAY_MILLIS / 2);
        return service.executions().stream().anyMatch(execution -> execution.atMillis() > earliestMillis);
    }
}
