package org.cactusshift.internal.transport.gateway;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import java.io.IOException;
import java.util.UUID;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.id.RequestId;
import org.cactusshift.internal.transport.http.HttpExchange;
import org.cactusshift.internal.transport.http.HttpResponses;

/** One request that the gateway handles, with its id and span. Every response to it is sent through this class. */
final class GatewayRequest {
    private static final long MILLIS_PER_SECOND = 1000;
    private static final String NO_SERVICE = "none";

    private final HttpExchange exchange;
    private final GatewayDependencies dependencies;
    private final SiteConfig site;
    private final RequestId id;
    private final Span span;
    private final long receivedMillis;
    private String service = NO_SERVICE;

    private GatewayRequest(
            HttpExchange exchange, GatewayDependencies dependencies, SiteConfig site, Span span, long receivedMillis) {
        this.exchange = exchange;
        this.dependencies = dependencies;
        this.site = site;
        this.id = RequestId.fromString(UUID.randomUUID().toString());
        this.span = span;
        this.receivedMillis = receivedMillis;
    }

    /** Starts the handling of a request, with a span of the given name. */
    static GatewayRequest start(HttpExchange exchange, GatewayDependencies dependencies, SiteConfig site, String name) {
        Span span = RequestTracing.startRequest(dependencies.tracer(), exchange, name);
        long receivedMillis = dependencies.monotonicMillis().getAsLong();
        GatewayRequest request = new GatewayRequest(exchange, dependencies, site, span, receivedMillis);
        span.setAttribute("cactusshift.request", request.id.value());
        return request;
    }

    HttpExchange exchange() {
        return exchange;
    }

    GatewayDependencies dependencies() {
        return dependencies;
    }

    SiteConfig site() {
        return site;
    }

    RequestId id() {
        return id;
    }

    Span span() {
        return span;
    }

    /** Returns when the handling of the request started, on the monotonic clock. */
    long receivedMillis() {
        return receivedMillis;
    }

    /** Sets the service for metrics and span; must be a configured name, so that callers can't create metric labels. */
    void setService(String name) {
        service = name;
        span.setAttribute("cactusshift.service", name);
    }

    /** Sends a response that is not a refusal. */
    void respond(ClassicHttpResponse response) throws HttpException, IOException {
        submit(response, "answered");
    }

    /** Sends an upstream's error response, marked as unknown outcome since the request may have run. */
    void passUpstreamError(ClassicHttpResponse response) throws HttpException, IOException {
        response.setHeader(GatewayHeaders.OUTCOME, "unknown");
        submit(response, "upstream_error");
    }

    /** Sends a refusal as the final response. */
    void refuse(Refusal refusal) throws HttpException, IOException {
        ClassicHttpResponse response =
                HttpResponses.json(refusal.error().status(), refusal.error().toJson());
        response.setHeader(GatewayHeaders.OUTCOME, refusal.outcome());
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.setHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds));
        }
        recordRefusal(refusal);
        submit(response, refusal.outcome());
    }

    /** Records a refusal in metrics and span; called directly when it is reported inside a stream that has started. */
    void recordRefusal(Refusal refusal) {
        dependencies.metrics().recordRefusal(service, refusal.error().code());
        span.setStatus(StatusCode.ERROR, refusal.error().code());
    }

    private void submit(ClassicHttpResponse response, String outcome) throws HttpException, IOException {
        response.setHeader(GatewayHeaders.REQUEST_ID, id.value());
        response.setHeader(GatewayHeaders.TRACEPARENT, RequestTracing.traceparent(span));
        dependencies.metrics().recordResponse(service, outcome, response.getCode());
        span.setAttribute("http.response.status_code", response.getCode());
        exchange.submit(response);
    }
}
