package org.cactusshift.internal.transport.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;

/** Handles requests. Called on the thread of the caller's connection, so by several threads at once. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles one request by calling {@link HttpExchange#submit} exactly once.
     *
     * @param exchange the request with its body
     * @throws HttpException if the response violates the HTTP protocol
     * @throws IOException if the caller can't be reached; the connection is closed
     */
    void handle(HttpExchange exchange) throws HttpException, IOException;
}
