package org.cactusshift.internal.transport.gateway;

import org.cactusshift.id.ServiceId;

/** Measures the wait for the first token and between tokens. */
final class CompletionTimer {
    private static final long NOT_YET_MILLIS = -1;

    private final GatewayRequest request;
    private final ServiceId service;
    private long lastTokenMillis = NOT_YET_MILLIS;

    CompletionTimer(GatewayRequest request, ServiceId service) {
        this.request = request;
        this.service = service;
    }

    void onTokens() {
        long nowMillis = request.components().monotonicMillis().getAsLong();
        if (lastTokenMillis == NOT_YET_MILLIS) {
            request.components().metrics().firstToken(service, nowMillis - request.receivedMillis());
        } else {
            request.components().metrics().betweenTokens(service, nowMillis - lastTokenMillis);
        }
        lastTokenMillis = nowMillis;
    }
}
