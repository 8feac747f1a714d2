package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.cactusshift.internal.coordination.performance.UpstreamPerformance;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;

/** Reports the estimates of how long work takes at upstreams: changes to the log, figures to the metrics. */
final class PerformanceMonitor {
    private static final long CHECK_INTERVAL_MILLIS = 250;

    private final UpstreamDirectory directory;
    private final RelayClock clock;
    private final EventLog log;

    private PerformanceMonitor(UpstreamDirectory directory, RelayClock clock, EventLog log) {
        this.directory = directory;
        this.clock = clock;
        this.log = log;
    }

    /** Registers the metrics, which are read on the event loop, and checks for changes at intervals. */
    static void start(
            UpstreamDirectory directory,
            RelayClock clock,
            EventLog log,
            PrometheusRegistry registry,
            EventLoop eventLoop) {
        PerformanceMonitor monitor = new PerformanceMonitor(directory, clock, log);
        monitor.register(
                registry,
                "cactusshift_relay_upstream_relative_time",
                "How long work takes at an upstream, relative to the others of its service.",
                upstream -> upstream.performance().relativeTime(clock.monotonicMillis()));
        monitor.register(
                registry,
                "cactusshift_relay_upstream_sample_age_seconds",
                "Age of the newest sample of the performance of an upstream.",
                upstream -> upstream.performance().ageMillis(clock.monotonicMillis()) / 1_000.0);
        monitor.register(
                registry,
                "cactusshift_relay_upstream_samples",
                "Samples of the performance of an upstream so far, those of peers included.",
                upstream -> upstream.performance().samples());
        eventLoop.scheduleAtFixedRate(
                monitor::check, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Registers a figure of each upstream that has samples. */
    private void register(PrometheusRegistry registry, String name, String help, ToDoubleFunction<Upstream> figure) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames("service", "upstream")
                .callback(callback -> {
                    for (Upstream upstream : directory.all()) {
                        if (upstream.performance().samples() > 0) {
                            callback.call(
                                    figure.applyAsDouble(upstream),
                                    upstream.entry().service().value(),
                                    upstream.id().value());
                        }
                    }
                })
                .register(registry);
    }

    private void check() {
        long now = clock.monotonicMillis();
        for (Upstream upstream : directory.all()) {
            UpstreamPerformance.Change change = upstream.performance().takeChange(now);
            if (change != UpstreamPerformance.Change.NONE) {
                log.event(change == UpstreamPerformance.Change.SLOW ? "upstream.slow" : "upstream.recovered")
                        .with("upstream", upstream.id().value())
                        .with("service", upstream.entry().service().value())
                        .with(
                                "relativeTime",
                                String.format(
                                        Locale.ROOT,
                                        "%.2f",
                                        upstream.performance().estimate(now)))
                        .with("samples", upstream.performance().samples())
                        .write();
            }
        }
    }
}
