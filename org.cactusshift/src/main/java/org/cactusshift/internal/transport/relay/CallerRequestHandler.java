package org.cactusshift.internal.transport.relay;

/** Handles complete requests of callers, on the event loop. */
public interface CallerRequestHandler {
    /**
     * Handles a request.
     *
     * @param exchange the request and the means to respond to it
     */
    void onRequest(CallerExchange exchange);
}
