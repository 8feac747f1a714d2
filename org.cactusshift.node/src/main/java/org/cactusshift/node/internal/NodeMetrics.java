package org.cactusshift.node.internal;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.cactusshift.internal.coordination.change.PlannedChange;
import org.cactusshift.internal.coordination.order.OrderContent;
import org.cactusshift.internal.coordination.store.BudgetedKeyValueStore;
import org.cactusshift.internal.coordination.store.StoreCallKind;

/** Registers the metrics of a node: its store calls, open requests and planned changes. */
final class NodeMetrics {
    private NodeMetrics() {}

    static void register(PrometheusRegistry registry, BudgetedKeyValueStore store, IntSupplier openRequests) {
        CounterWithCallback.builder()
                .name("cactusshift_store_calls_total")
                .help("Calls to the key-value service.")
                .labelNames("kind")
                .callback(callback -> {
                    for (StoreCallKind kind : StoreCallKind.values()) {
                        callback.call(store.calls(kind), label(kind));
                    }
                })
                .register(registry);
        CounterWithCallback.builder()
                .name("cactusshift_store_calls_throttled_total")
                .help("Calls to the key-value service that the node's budget held back.")
                .labelNames("kind")
                .callback(callback -> {
                    for (StoreCallKind kind : StoreCallKind.values()) {
                        callback.call(store.throttled(kind), label(kind));
                    }
                })
                .register(registry);
        GaugeWithCallback.builder()
                .name("cactusshift_store_watches")
                .help("Open watches on the key-value service.")
                .callback(callback -> callback.call(store.openWatches()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("cactusshift_dispatch_open_requests")
                .help("Requests that are queued or run at this node.")
                .callback(callback -> callback.call(openRequests.getAsInt()))
                .register(registry);
    }

    /** Registers a counter of planned changes and returns a consumer that increments it. */
    static Consumer<PlannedChange> registerPlannedChanges(PrometheusRegistry registry) {
        Counter counter = Counter.builder()
                .name("cactusshift_planned_changes_total")
                .help("Planned changes of engines that were carried out or put off.")
                .labelNames("kind", "result")
                .register(registry);
        return change -> counter.labelValues(
                        change.content() instanceof OrderContent.SetRole ? "set_role" : "load_version",
                        change.phase().name().toLowerCase(Locale.ROOT))
                .inc();
    }

    private static String label(StoreCallKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
