package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** Responses of the node itself, which state a reason as plain text. */
final class PlainTextResponse {
    private PlainTextResponse() {}

    /** Refuses a request that was not run, and states after how many milliseconds the caller should retry. */
    static void refuse(CallerExchange exchange, RelayCodec codec, String reason, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        codec.writeRetryAfter(headers, retryAfterMillis);
        send(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, headers, reason);
    }

    static void send(CallerExchange exchange, HttpResponseStatus status, HttpHeaders headers, String reason) {
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        exchange.respond(status, headers, (reason + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
