package org.cactusshift.internal.transport.gateway;

import org.cactusshift.id.ServiceId;

/** Measures the time to first token and the time between deliveries of tokens of one completion. */
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
        long nowMillis = request.dependencies().monotonicMillis().getAsLong();
        if (lastTokenMillis == NO_TOKEN_YET_MILLIS) {
            request.dependencies().metrics().recordTimeToFirstToken(service, nowMillis - request.receivedMillis());
        } else {
            request.dependencies().metrics().recordTimeBetweenTokens(service, nowMillis - lastTokenMillis);
        }
        lastTokenMillis = nowMillis;
    }
}
