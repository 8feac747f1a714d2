package org.cactusshift.internal.transport.relay;

/** Takes whole requests of callers, on the event loop. */
public interface CallerRequestHandler {
    /**
     * Takes a request.
     *
     * @param exchange the request and the way to answer it
     */
    void onRequest(CallerExchange exchange);
}
