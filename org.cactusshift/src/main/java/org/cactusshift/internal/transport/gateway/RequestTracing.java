package org.cactusshift.internal.transport.gateway;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.hc.core5.http.Header;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.transport.http.HttpExchange;

/** Starts the spans of a request and propagates the trace context. */
final class RequestTracing {
    private static final TextMapGetter<HttpExchange> CALLER_HEADERS = new TextMapGetter<>() {
        @Override
        public Iterable<String> keys(HttpExchange exchange) {
            return List.of(exchange.request().getHeaders()).stream()
                    .map(Header::getName)
                    .toList();
        }

        @Override
        public String get(HttpExchange exchange, String name) {
            return exchange == null ? null : exchange.header(name).orElse(null);
        }
    };

    private RequestTracing() {}

    /** Starts the span of a caller's request; it has a valid trace id even when no spans are recorded. */
    static Span startRequest(Tracer tracer, HttpExchange exchange, String name) {
        Context parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), exchange, CALLER_HEADERS);
        Span span = tracer.spanBuilder(name)
                .setParent(parent)
                .setSpanKind(SpanKind.SERVER)
                .startSpan();
        return span.getSpanContext().isValid() ? span : Span.wrap(randomContext());
    }

    private static SpanContext randomContext() {
        // An id of zeros only is invalid.
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return SpanContext.create(
                String.format("%016x%016x", random.nextLong() | 1, random.nextLong()),
                String.format("%016x", random.nextLong() | 1),
                TraceFlags.getDefault(),
                TraceState.getDefault());
    }

    /**
     * Starts the span of an attempt. Returns the span of the request when no spans are recorded; it must not be ended
     * with the attempt.
     */
    static Span startAttempt(Tracer tracer, Span requestSpan, AttemptId attempt, UpstreamId upstream) {
        Span span = tracer.spanBuilder("attempt")
                .setParent(Context.root().with(requestSpan))
                .setSpanKind(SpanKind.CLIENT)
                .setAttribute("cactusshift.attempt", attempt.value())
                .setAttribute("cactusshift.upstream", upstream.value())
                .startSpan();
        return span.getSpanContext().isValid() ? span : requestSpan;
    }

    static String traceparent(Span span) {
        SpanContext context = span.getSpanContext();
        return "00-" + context.getTraceId() + "-" + context.getSpanId() + "-"
                + context.getTraceFlags().asHex();
    }
}
