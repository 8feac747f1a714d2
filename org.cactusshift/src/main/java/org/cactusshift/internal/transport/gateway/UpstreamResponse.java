package org.cactusshift.internal.transport.gateway;

import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHeaders;
import org.cactusshift.internal.transport.http.HttpClientExchange;
import org.cactusshift.internal.transport.http.HttpResponses;

/**
 * A complete response of an upstream.
 *
 * @param status the HTTP status
 * @param contentType the content type; empty when the upstream sent none
 * @param retryAfter the upstream's Retry-After header; empty when it sent none
 * @param body the body
 */
record UpstreamResponse(int status, String contentType, Optional<String> retryAfter, byte[] body) {
    private static final String RETRY_AFTER_SECONDS = "1";

    static UpstreamResponse of(HttpClientExchange exchange, byte[] body) {
        return new UpstreamResponse(
                exchange.status(),
                exchange.header(HttpHeaders.CONTENT_TYPE).orElse(""),
                exchange.header(HttpHeaders.RETRY_AFTER),
                body);
    }

    /** Returns the response for the caller; sets Retry-After for 429 and 503 if the upstream sent none. */
    ClassicHttpResponse toResponse() {
        ContentType type = contentType.isEmpty() ? null : ContentType.parseLenient(contentType);
        ClassicHttpResponse response = HttpResponses.of(status, type, body);
        boolean needsRetryAfter = status == 429 || status == 503;
        retryAfter
                .or(() -> needsRetryAfter ? Optional.of(RETRY_AFTER_SECONDS) : Optional.empty())
                .ifPresent(value -> response.setHeader(HttpHeaders.RETRY_AFTER, value));
        return response;
    }
}
