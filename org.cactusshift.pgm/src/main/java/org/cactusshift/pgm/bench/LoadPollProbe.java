package org.cactusshift.pgm.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.DispatcherOptions;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;
import org.cactusshift.internal.transport.gateway.UpstreamLoadPoller;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.HttpClientSettings;
import org.cactusshift.node.internal.NodeDefaults;

/** Measures the bytes and the CPU time that a gateway spends on polling engines for load and cache events. */
final class LoadPollProbe implements Probe {
    private static final long WARM_UP_MILLIS = 1_500;
    private static final long MEASURE_MILLIS = 4_000;
    private static final String LOAD_BODY = "{\"age_millis\":120,\"role\":\"mixed\",\"running\":12,\"waiting\":3,"
            + "\"queued_prefill_tokens\":4096,\"used_pieces\":40,\"total_pieces\":64,"
            + "\"prefill_tokens_per_second\":8000.0,\"decode_tokens_per_second\":40.0,\"version\":\"2026-10\","
            + "\"changing\":false,\"draining\":false,\"epoch\":1}";
    private static final String NO_CACHE_EVENTS_BODY = "{\"next\":0,\"events\":[]}";

    /** A configuration source with one fixed version, which declares the polled engines. */
    private record FixedConfig(VersionedConfig installed) implements ConfigSource {
        @Override
        public Optional<VersionedConfig> active() {
            return Optional.of(installed);
        }

        @Override
        public void subscribe(Consumer<VersionedConfig> listener) {
            listener.accept(installed);
        }
    }

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> bytesPerSecond = new ArrayList<>();
        List<Sample> cpuMicrosPerSecond = new ArrayList<>();
        for (int engines : scale.sizes(12, 48, 96)) {
            measure(scale, engines, bytesPerSecond, cpuMicrosPerSecond);
        }
        return List.of(
                measurement("load polls, bytes/s", bytesPerSecond),
                measurement("load polls, CPU us/s", cpuMicrosPerSecond));
    }

    private static ScalingMeasurement measurement(String measure, List<Sample> samples) {
        return new ScalingMeasurement(
                NodeRole.GATEWAY,
                measure,
                "engine in view",
                SiteSizes.ENGINES_TODAY,
                SiteSizes.ENGINES_PLANNED,
                samples);
    }

    private static void measure(
            Scale scale, int engines, List<Sample> bytesPerSecond, List<Sample> cpuMicrosPerSecond) {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
        // The poller reads /load and /cache-events.
        try (CountingServer server =
                        CountingServer.start(head -> head.contains(" /load ") ? LOAD_BODY : NO_CACHE_EVENTS_BODY);
                HttpClientPool pool = HttpClientPool.create(
                        () -> HttpClientSettings.of(NodeDefaults.TIMING), BenchSite.MONOTONIC_MILLIS, scheduler);
                DispatchService dispatch = dispatch(scheduler)) {
            SiteConfig siteConfig = BenchSite.config(SiteSizes.ACCOUNTS_TODAY, engines, server.address());
            ConfigSource config = new FixedConfig(new VersionedConfig(1, siteConfig));
            config.subscribe(dispatch::install);
            Set<Long> existingThreadIds = Meter.threadIds();
            try (UpstreamLoadPoller poller =
                    UpstreamLoadPoller.start(config, dispatch, pool, BenchSite.MONOTONIC_MILLIS, scheduler)) {
                Meter.pause(scale.durationMillis(WARM_UP_MILLIS));
                // The name that the poller gives its threads.
                Set<Long> pollerThreadIds = new HashSet<>(Meter.threadIdsNamed("upstream-load"));
                pollerThreadIds.removeAll(existingThreadIds);
                long startNanos = System.nanoTime();
                long bytesBefore = server.bytes();
                double cpuBefore = Meter.cpuMicrosOf(pollerThreadIds);
                Meter.pause(scale.durationMillis(MEASURE_MILLIS));
                double seconds = (System.nanoTime() - startNanos) / 1e9;
                bytesPerSecond.add(new Sample(engines, (server.bytes() - bytesBefore) / seconds));
                cpuMicrosPerSecond.add(new Sample(engines, (Meter.cpuMicrosOf(pollerThreadIds) - cpuBefore) / seconds));
            }
        } finally {
            scheduler.shutdownNow();
        }
    }

    /** Returns a dispatch service without configuration. */
    static DispatchService dispatch(ScheduledExecutorService scheduler) {
        return DispatchService.create(
                (service, site) -> ServiceDispatcher.create(
                        DispatcherOptions.create(BenchSite.incarnation(1), service.kind(), site.limits()),
                        new Random(1)),
                BenchSite.MONOTONIC_MILLIS,
                scheduler);
    }
}
