package org.cactusshift.internal.transport.gateway;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.cactusshift.internal.transport.http.HttpAnswers;
import org.cactusshift.internal.transport.http.HttpExchange;
import org.cactusshift.internal.transport.http.HttpHandler;

/** The callers' interface of a node, to be installed on an {@code HttpListener}. */
public final class Gateway implements HttpHandler {
    private final GatewayComponents components;

    private Gateway(GatewayComponents components) {
        this.components = components;
    }

    /**
     * Creates the gateway.
     *
     * @param components what it works with
     * @return the gateway
     */
    public static Gateway create(GatewayComponents components) {
        return new Gateway(components);
    }

    @Override
    public void handle(HttpExchange exchange) throws HttpException, IOException {
        if (exchange.path().equals("/healthz")) {
            exchange.submit(HttpAnswers.json(200, "{\"status\":\"ok\"}"));
        } else if (exchange.path().equals("/readyz")) {
            boolean ready = components.ready().getAsBoolean();
            exchange.submit(HttpAnswers.json(ready ? 200 : 503, "{\"ready\":" + ready + "}"));
        } else {
            exchange.submit(HttpAnswers.json(404, "{}"));
        }
    }
}
