package org.cactusshift.internal.transport.gateway;

import org.cactusshift.id.ServiceId;

/** Measures the wait for the first token and between tokens. */
final class CompletionTimer {
    private static final long NO_TOKEN_YET_MILLIS = -1;

    private final GatewayRequest request;
    private final ServiceId service;
    private long lastTokenMillis = NO_TOKEN_YET_MILLIS;

    CompletionTimer(GatewayRequest request, ServiceId service) {
        this.request = request;
        this.service = service;
    }

    void onTokens() {
        long nowMillis = request.components().monotonicMillis().getAsLong();
        if (lastTokenMillis == NO_TOKEN_YET_MILLIS) {
            request.components().metrics().firstTokenSeconds(service, nowMillis - request.receivedMillis());
        } else {
            request.components().metrics().betweenTokensSeconds(service, nowMillis - lastTokenMillis);
        }
        lastTokenMillis = nowMillis;
    }
}
