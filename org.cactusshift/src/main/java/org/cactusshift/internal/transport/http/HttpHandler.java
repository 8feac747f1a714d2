package org.cactusshift.internal.transport.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;

/** Answers requests; called on the thread of the caller's connection, by many threads at once. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Answers one request by calling {@link HttpExchange#submit} exactly once.
     *
     * @param exchange the request with its body
     * @throws HttpException if the answer breaks the protocol
     * @throws IOException if the caller can't be reached; the connection is closed
     */
    void handle(HttpExchange exchange) throws HttpException, IOException;
}
