package org.cactusshift.node.internal;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import java.util.Map;
import org.apache.logging.log4j.core.util.ContextDataProvider;

/** Adds the trace id and the span id of the current span to each log line. */
public final class TraceContextDataProvider implements ContextDataProvider {
    @Override
    public Map<String, String> supplyContextData() {
        SpanContext context = Span.current().getSpanContext();
        if (!context.isValid()) {
            return Map.of();
        }
        return Map.of("trace_id", context.getTraceId(), "span_id", context.getSpanId());
    }
}
