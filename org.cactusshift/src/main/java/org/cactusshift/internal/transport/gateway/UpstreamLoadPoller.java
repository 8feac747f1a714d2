package org.cactusshift.internal.transport.gateway;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.DaemonThreads;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.ExclusionCause;
import org.cactusshift.internal.protocol.engine.CacheEvents;
import org.cactusshift.internal.protocol.engine.LoadReport;
import org.cactusshift.internal.transport.http.HttpClientExchange;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpExchangeException;
import org.cactusshift.internal.transport.http.ResponseNeededCheck;

/**
 * Polls the load of each upstream and the cache events of engines, reports both to the dispatchers, and excludes
 * upstreams that are unresponsive.
 */
public final class UpstreamLoadPoller implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(UpstreamLoadPoller.class.getName());
    private static final long POLL_PERIOD_MILLIS = 250;
    private static final long DUE_CHECK_PERIOD_MILLIS = 25;
    private static final long FETCH_TIMEOUT_MILLIS = 1000;
    private static final long CACHE_EVENTS_PERIOD_MILLIS = 500;
    /**
     * Time without response after which an upstream gets no new work; short, since requests sent to it in the meantime
     * may get no response.
     */
    private static final long UNRESPONSIVE_AFTER_MILLIS = 2000;

    private static final int MAXIMUM_RESPONSE_BYTES = 256 * 1024;
    private static final int THREADS = 8;

    private final ConfigSource config;
    private final DispatchService dispatch;
    private final HttpClientPool connectionPool;
    private final LongSupplier monotonicMillis;
    private final ExecutorService executor =
            Executors.newFixedThreadPool(THREADS, DaemonThreads.named("upstream-load"));
    private final ScheduledFuture<?> timer;
    private final Map<UpstreamId, PollState> pollStateByUpstream = new HashMap<>();

    /** The state of the polls of one upstream. */
    private static final class PollState {
        private final String address;
        private long nextPollMillis;
        private long lastResponseMillis;
        private boolean pollInFlight;
        // The fields below are used only by the poll that is in flight.
        /** The epoch that the engine reported last; another one means that it has restarted. */
        private long engineEpoch;

        private long lastEventSequence;
        private long nextCacheEventsPollMillis;

        PollState(String address, long nowMillis) {
            this.address = address;
            this.nextPollMillis = nowMillis;
            this.lastResponseMillis = nowMillis;
        }
    }

    private UpstreamLoadPoller(
            ConfigSource config,
            DispatchService dispatch,
            HttpClientPool connectionPool,
            LongSupplier monotonicMillis,
            ScheduledExecutorService scheduler) {
        this.config = config;
        this.dispatch = dispatch;
        this.connectionPool = connectionPool;
        this.monotonicMillis = monotonicMillis;
        this.timer = scheduler.scheduleWithFixedDelay(
                this::startDuePolls, DUE_CHECK_PERIOD_MILLIS, DUE_CHECK_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts polling the upstreams of the active configuration.
     *
     * @param config the active configuration
     * @param dispatch receives the reports
     * @param connectionPool the connections to upstreams
     * @param monotonicMillis a monotonic clock, in milliseconds
     * @param scheduler runs the timer
     * @return the poller
     */
    public static UpstreamLoadPoller start(
            ConfigSource config,
            DispatchService dispatch,
            HttpClientPool connectionPool,
            LongSupplier monotonicMillis,
            ScheduledExecutorService scheduler) {
        return new UpstreamLoadPoller(config, dispatch, connectionPool, monotonicMillis, scheduler);
    }

    private void startDuePolls() {
        try {
            List<UpstreamConfig> upstreams = config.active()
                    .map(VersionedConfig::config)
                    .map(site -> site.upstreams())
                    .orElse(List.of());
            removeStalePollStates(upstreams);
            upstreams.forEach(this::pollIfDue);
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "starting the polls of upstream loads failed unexpectedly; the next period tries again",
                    e);
        }
    }

    private synchronized void removeStalePollStates(List<UpstreamConfig> upstreams) {
        Map<UpstreamId, String> addresses = new HashMap<>();
        upstreams.forEach(upstream -> addresses.put(upstream.id(), upstream.address()));
        pollStateByUpstream
                .entrySet()
                .removeIf(entry -> !entry.getValue().address.equals(addresses.get(entry.getKey())));
    }

    private synchronized void pollIfDue(UpstreamConfig upstream) {
        long nowMillis = monotonicMillis.getAsLong();
        PollState state =
                pollStateByUpstream.computeIfAbsent(upstream.id(), id -> new PollState(upstream.address(), nowMillis));
        if (nowMillis - state.lastResponseMillis > UNRESPONSIVE_AFTER_MILLIS) {
            dispatch.setExcluded(upstream.service(), upstream.id(), ExclusionCause.SILENT, true);
        }
        if (state.pollInFlight || nowMillis < state.nextPollMillis) {
            return;
        }
        state.pollInFlight = true;
        // Jitter keeps the nodes from polling at the same moment.
        long jitterMillis = ThreadLocalRandom.current().nextLong(POLL_PERIOD_MILLIS / 2);
        state.nextPollMillis = nowMillis + POLL_PERIOD_MILLIS * 3 / 4 + jitterMillis;
        executor.execute(() -> poll(upstream, state));
    }

    private void poll(UpstreamConfig upstream, PollState state) {
        long sentMillis = monotonicMillis.getAsLong();
        Optional<LoadReport> report = Optional.empty();
        try {
            report = fetch(upstream.address(), "/load").flatMap(body -> LoadReport.parse(body, sentMillis));
            if (report.isPresent() && upstream.memoryPieces() > 0) {
                pollCacheEvents(upstream, state, report.get().load().epoch(), sentMillis);
            }
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.WARNING, "polling the load of upstream " + upstream.id() + " failed", e);
        } finally {
            onPollEnded(state, report.isPresent());
        }
        report.ifPresent(loadReport -> report(upstream, loadReport));
    }

    private synchronized void onPollEnded(PollState state, boolean responded) {
        state.pollInFlight = false;
        if (responded) {
            state.lastResponseMillis = monotonicMillis.getAsLong();
        }
    }

    private void report(UpstreamConfig upstream, LoadReport report) {
        dispatch.onLoad(upstream.service(), upstream.id(), report.load());
        dispatch.setExcluded(upstream.service(), upstream.id(), ExclusionCause.DRAINING, report.draining());
        dispatch.setExcluded(upstream.service(), upstream.id(), ExclusionCause.SILENT, false);
    }

    /**
     * Fetches the cache events after the last one received from an engine, at most every
     * {@value #CACHE_EVENTS_PERIOD_MILLIS} ms.
     */
    private void pollCacheEvents(UpstreamConfig upstream, PollState state, long epoch, long nowMillis) {
        if (epoch != state.engineEpoch) {
            // A restarted engine numbers its events from the start.
            state.engineEpoch = epoch;
            state.lastEventSequence = 0;
        }
        if (nowMillis < state.nextCacheEventsPollMillis) {
            return;
        }
        state.nextCacheEventsPollMillis = nowMillis + CACHE_EVENTS_PERIOD_MILLIS;
        fetch(upstream.address(), "/cache-events?after=" + state.lastEventSequence)
                .flatMap(CacheEvents::parse)
                .ifPresent(events -> {
                    state.lastEventSequence = events.lastSequence();
                    dispatch.onCacheEvents(upstream.service(), upstream.id(), events.events());
                });
    }

    private Optional<byte[]> fetch(String address, String path) {
        Either<HttpExchangeException, HttpClientExchange> sent = connectionPool.send(
                address,
                new BasicClassicHttpRequest("GET", path),
                ResponseNeededCheck.ALWAYS_NEEDED,
                FETCH_TIMEOUT_MILLIS);
        if (sent.isLeft()) {
            return Optional.empty();
        }
        try (HttpClientExchange exchange = sent.get()) {
            byte[] body = exchange.readAll(MAXIMUM_RESPONSE_BYTES);
            return exchange.status() == 200 ? Optional.of(body) : Optional.empty();
        } catch (HttpExchangeException e) {
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        timer.cancel(false);
        executor.shutdownNow();
    }
}
