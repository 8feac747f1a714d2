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

/** One request on its way through the gateway: its id, span and the single way to answer it. */
final class GatewayRequest {
    private static final long MILLIS_PER_SECOND = 1000;
    private static final String NO_SERVICE = "none";

    private final HttpExchange exchange;
    private final GatewayDependencies components;
    private final SiteConfig site;
    private final RequestId id;
    private final Span span;
    private final long receivedMillis;
    private String service = NO_SERVICE;

    private GatewayRequest(
            HttpExchange exchange, GatewayDependencies components, SiteConfig site, Span span, long receivedMillis) {
        this.exchange = exchange;
        this.components = components;
        this.site = site;
        this.id = RequestId.fromString(UUID.randomUUID().toString());
        this.span = span;
        this.receivedMillis = receivedMillis;
    }

    static GatewayRequest start(HttpExchange exchange, GatewayDependencies components, SiteConfig site, String name) {
        Span span = RequestTracing.startRequest(components.tracer(), exchange, name);
        long receivedMillis = components.monotonicMillis().getAsLong();
        GatewayRequest request = new GatewayRequest(exchange, components, site, span, receivedMillis);
        span.setAttribute("cactusshift.request", request.id.value());
        return request;
    }

    HttpExchange exchange() {
        return exchange;
    }

    GatewayDependencies components() {
        return components;
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

    long receivedMillis() {
        return receivedMillis;
    }

    /** Names the service for the metrics; only names from the configuration, so that callers can't make up labels. */
    void setService(String name) {
        service = name;
        span.setAttribute("cactusshift.service", name);
    }

    /** Sends an answer that is not a refusal. */
    void respond(ClassicHttpResponse response) throws HttpException, IOException {
        submit(response, "answered");
    }

    /** Sends an answer of an upstream that is an error; the request may have run. */
    void passUpstreamError(ClassicHttpResponse response) throws HttpException, IOException {
        response.setHeader(GatewayHeaders.OUTCOME, "unknown");
        submit(response, "upstream_error");
    }

    /** Sends the final answer to a request that is given up. */
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

    /** Counts a refusal that is told inside an answer that has begun. */
    void recordRefusal(Refusal refusal) {
        components.metrics().recordRefusal(service, refusal.error().code());
        span.setStatus(StatusCode.ERROR, refusal.error().code());
    }

    private void submit(ClassicHttpResponse response, String outcome) throws HttpException, IOException {
        response.setHeader(GatewayHeaders.REQUEST_ID, id.value());
        response.setHeader(GatewayHeaders.TRACEPARENT, RequestTracing.traceparent(span));
        components.metrics().recordResponse(service, outcome, response.getCode());
        span.setAttribute("http.response.status_code", response.getCode());
        exchange.submit(response);
    }
}
