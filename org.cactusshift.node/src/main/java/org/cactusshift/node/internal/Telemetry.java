package org.cactusshift.node.internal;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cactusshift.config.NodeSettings;

/**
 * The tracing of one node: exports spans to the OTLP collector of the settings and to an additional exporter.
 * {@link NodeMetrics} registers the metrics.
 */
public final class Telemetry implements AutoCloseable {
    private static final String SCOPE = "org.cactusshift";
    private static final long FLUSH_TIMEOUT_MILLIS = 1_000;
    private static final AttributeKey<String> SERVICE_NAME = AttributeKey.stringKey("service.name");
    private static final AttributeKey<String> SERVICE_INSTANCE_ID = AttributeKey.stringKey("service.instance.id");

    private final SdkTracerProvider provider;

    private Telemetry(SdkTracerProvider provider) {
        this.provider = provider;
    }

    /**
     * Creates the telemetry of a node.
     *
     * @param settings the node's settings
     * @param additionalExporter an additional exporter of spans, or empty
     * @return the telemetry
     */
    public static Telemetry create(NodeSettings settings, Optional<SpanExporter> additionalExporter) {
        Resource resource = Resource.getDefault().toBuilder()
                .put(SERVICE_NAME, "cactusshift")
                .put(SERVICE_INSTANCE_ID, settings.instanceId().value())
                .build();
        SdkTracerProviderBuilder builder = SdkTracerProvider.builder().setResource(resource);
        settings.traceAddress().ifPresent(address -> builder.addSpanProcessor(batch(collector(address))));
        additionalExporter.ifPresent(exporter -> builder.addSpanProcessor(batch(exporter)));
        return new Telemetry(builder.build());
    }

    /**
     * Returns the tracer of the node.
     *
     * @return the tracer
     */
    public Tracer tracer() {
        return provider.get(SCOPE);
    }

    @Override
    public void close() {
        provider.shutdown().join(FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static BatchSpanProcessor batch(SpanExporter exporter) {
        return BatchSpanProcessor.builder(exporter).build();
    }

    private static SpanExporter collector(String address) {
        return OtlpHttpSpanExporter.builder()
                .setEndpoint("http://" + address + "/v1/traces")
                .build();
    }
}
