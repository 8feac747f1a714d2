package org.cactusshift.pgm.demo;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.concurrent.atomic.AtomicLong;

/** A span exporter that counts the spans of the nodes and drops them. */
final class SpanCounter implements SpanExporter {
    private final AtomicLong spans = new AtomicLong();

    long count() {
        return spans.get();
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> batch) {
        spans.addAndGet(batch.size());
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
