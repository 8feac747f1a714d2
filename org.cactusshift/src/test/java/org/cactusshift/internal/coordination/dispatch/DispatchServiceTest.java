package org.cactusshift.internal.coordination.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DispatchServiceTest {
    private static final ServiceId SERVICE = ServiceId.fromString("share-lm");
    private static final UpstreamId UPSTREAM = UpstreamId.fromString("u1");
    private static final UpstreamId PREFILL = UpstreamId.fromString("u2");
    private static final long TIMEOUT_MILLIS = 10_000;

    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final List<String> calls = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger ticks = new AtomicInteger();
    private final DispatchService service = DispatchService.create(
            (config, site) -> new RecordingDispatcher(),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            scheduler);

    @AfterEach
    void closeService() {
        service.close();
        scheduler.shutdownNow();
    }

    /**
     * Records the calls, and fails at its first tick. Dispatches each request with a prompt immediately to one
     * upstream, queues the others, and never retries.
     */
    private final class RecordingDispatcher implements Dispatcher {
        @Override
        public List<DispatchDecision> onConfig(
                List<AccountConfig> accounts, List<UpstreamConfig> upstreams, long nowMillis) {
            return List.of();
        }

        @Override
        public List<DispatchDecision> submit(DispatchRequest request, long nowMillis) {
            if (request.promptTokens() == 0) {
                return List.of();
            }
            AttemptId attempt = AttemptId.fromString(request.id().value() + "-1");
            return List.of(
                    new DispatchDecision.Dispatch(request.id(), attempt, UPSTREAM, false, 0, Optional.of(PREFILL)));
        }

        @Override
        public void onProgress(AttemptId attempt, int outputTokens, long nowMillis) {}

        @Override
        public List<DispatchDecision> onAttemptEnd(AttemptId attempt, AttemptEnd end, long nowMillis) {
            calls.add("end " + attempt + " " + end.outcome());
            return List.of();
        }

        @Override
        public List<DispatchDecision> cancel(RequestId request, long nowMillis) {
            calls.add("cancel " + request);
            return List.of();
        }

        @Override
        public List<DispatchDecision> onLoad(UpstreamId upstream, EngineLoad load, long nowMillis) {
            return List.of();
        }

        @Override
        public List<DispatchDecision> onExclusionChanged(UpstreamId upstream, boolean excluded, long nowMillis) {
            calls.add("excluded " + excluded);
            return List.of();
        }

        @Override
        public void onRemoteServedTokens(AccountId account, long prefill, long decode, int inFlight, long nowMillis) {}

        @Override
        public void onRemoteCrashSuspect(long fingerprint, int crashes, long nowMillis) {}

        @Override
        public List<DispatchDecision> onTick(long nowMillis) {
            if (ticks.incrementAndGet() == 1) {
                throw new IllegalStateException("a fault on the timer");
            }
            return List.of();
        }
    }

    private void install(boolean declared) {
        ServiceConfig config = new ServiceConfig(SERVICE, ServiceConfig.Kind.MODEL, "1", false, false, List.of());
        service.install(new VersionedConfig(
                1,
                new SiteConfig(
                        1,
                        SiteId.fromString("be-coast"),
                        LocalDate.of(2027, 1, 1),
                        List.of(),
                        List.of(),
                        declared ? List.of(config) : List.of(),
                        List.of(),
                        null,
                        null)));
    }

    private static DispatchRequest request(long promptTokens) {
        return new DispatchRequest(
                RequestId.fromString("r"),
                AccountId.fromString("crew"),
                SERVICE,
                promptTokens,
                1,
                List.of(),
                1,
                true,
                1);
    }

    @Test
    void cancelsAttemptWhenTicketIsClosedBeforeDecisionIsReceived() {
        install(true);
        DispatchTicket ticket = service.submit(request(1)).orElseThrow();
        assertEquals(1, service.openAttempts(SERVICE, UPSTREAM));
        assertEquals(1, service.openAttempts(SERVICE, PREFILL));
        ticket.close();
        ticket.close();
        assertEquals(List.of("end r-1 CANCELLED"), calls);
        assertEquals(0, service.openAttempts(SERVICE, UPSTREAM));
        assertEquals(0, service.openRequests());
    }

    @Test
    void cancelsQueuedRequestOnce() throws Exception {
        install(true);
        DispatchTicket ticket = service.submit(request(0)).orElseThrow();
        assertTrue(ticket.await(1).isEmpty());
        ticket.close();
        ticket.close();
        assertEquals(List.of("cancel r"), calls);
    }

    @Test
    void reportsEndOfAttemptOnce() throws Exception {
        install(true);
        DispatchTicket ticket = service.submit(request(1)).orElseThrow();
        DispatchDecision.Dispatch dispatch =
                (DispatchDecision.Dispatch) ticket.await(TIMEOUT_MILLIS).orElseThrow();
        AttemptEnd completed = new AttemptEnd(AttemptEnd.Outcome.COMPLETED, 1, 1);
        ticket.onAttemptEnd(dispatch.attempt(), completed);
        ticket.onAttemptEnd(dispatch.attempt(), completed);
        ticket.close();
        assertEquals(List.of("end r-1 COMPLETED"), calls);
    }

    @Test
    void excludesUpstreamWhileAnyCauseApplies() {
        install(true);
        service.setExcluded(SERVICE, UPSTREAM, ExclusionCause.SILENT, true);
        service.setExcluded(SERVICE, UPSTREAM, ExclusionCause.DRAINING, true);
        service.setExcluded(SERVICE, UPSTREAM, ExclusionCause.SILENT, false);
        assertEquals(List.of("excluded true"), calls);
        service.setExcluded(SERVICE, UPSTREAM, ExclusionCause.DRAINING, false);
        assertEquals(List.of("excluded true", "excluded false"), calls);
    }

    @Test
    void continuesTicksAfterDispatcherFaultAndForRemovedServices() throws Exception {
        install(true);
        DispatchTicket ticket = service.submit(request(0)).orElseThrow();
        install(false);
        assertTrue(service.submit(request(0)).isEmpty());
        int before = ticks.get();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (ticks.get() < before + 3 && System.nanoTime() < endNanos) {
            Thread.sleep(5);
        }
        assertTrue(ticks.get() >= before + 3);
        ticket.close();
    }
}
