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
    /** Time after which an upstream that is marked as leaving must not receive chats any more. */
    private static final long REMOVAL_TIMEOUT_MILLIS = 5_000;

    private static final long RESPONSE_DELAY_MILLIS = 1_000;

    private static final Set<Kind> CHAT_KINDS = Set.of(Kind.STREAMED_CHAT, Kind.WHOLE_CHAT);

    private static final Set<Outcome> FAILED_OUTCOMES =
            Set.of(Outcome.LOST, Outcome.UNKNOWN, Outcome.ENDED_EARLY, Outcome.NOT_RUN);

    @Test
    void streamsOfCrashedEngineAreResumed() throws Exception {
        StandInEngine engine = awaitEngineWithRunningChat();
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
        awaitEngineWithRunningChat().faults().stallOpenConnections();
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
                "no payout had an unknown outcome");
        assertEquals(List.of(), checks.resultsOf(Set.of(Kind.PAYOUT), Set.of(Outcome.LOST)), "lost payouts");
    }

    @Test
    void leavingUpstreamReceivesNoChatsAfterTimeLimit() throws Exception {
        StandInEngine engine = awaitEngineWithRunningChat();
        site.platform().instanceList().markLeaving(engine.settings().engineId());
        long removalDeadlineMillis = System.currentTimeMillis() + REMOVAL_TIMEOUT_MILLIS;
        BoundedWait.until("the end of the time limit", () -> System.currentTimeMillis() > removalDeadlineMillis);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, 2 * AWAITED_CALLS);
        TrafficChecks checks = finish();
        assertEquals(
                List.of(),
                engine.log().matching(request -> isChat(request) && request.receivedAtMillis() > removalDeadlineMillis),
                "chats that the upstream received after the time limit");
        checks.assertNoCallInterrupted();
        checks.assertUsageEqualsServed();
    }

    private StandInEngine awaitEngineWithRunningChat() throws InterruptedException {
        BoundedWait.until(
                "an engine with a running chat",
                () -> site.platform().engines().stream().anyMatch(UpstreamLossTest::hasRunningChat));
        return site.platform().engines().stream()
                .filter(UpstreamLossTest::hasRunningChat)
                .findFirst()
                .orElse(site.platform().engines().get(0));
    }

    private static boolean hasRunningChat(StandInEngine engine) {
        return !engine.log()
                .matching(request -> isChat(request) && request.outcome() == ReceivedRequest.Outcome.RUNNING)
                .isEmpty();
    }

    private static boolean isChat(ReceivedRequest request) {
        return request.path().startsWith("/v1/chat");
    }

    /**
     * Returns whether a payout ran after responses began to be delayed and its response is still pending. It counts as
     * pending for half of the delay.
     */
    private static boolean hasOpenPayout(StandInPlainService service, long delayedFromMillis) {
        long earliestMillis = Math.max(delayedFromMillis, System.currentTimeMillis() - RESPONSE_DELAY_MILLIS / 2);
        return service.executions().stream().anyMatch(execution -> execution.atMillis() > earliestMillis);
    }
}
