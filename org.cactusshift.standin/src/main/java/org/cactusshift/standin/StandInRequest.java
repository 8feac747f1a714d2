package org.cactusshift.standin;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/** A request that a {@link StandInHandler} handles. */
public final class StandInRequest {
    /** The header {@code X-Request-Id}, in which callers of a stand-in send the attempt id. */
    public static final String ATTEMPT_ID_HEADER = "x-request-id";

    private final String method;

    private final String path;

    private final String query;

    private final Map<String, String> headers;

    private final String body;

    private final StandInExchange exchange;

    StandInRequest(String method, String target, Map<String, String> headers, String body, StandInExchange exchange) {
        this.method = method;
        int queryStart = target.indexOf('?');
        this.path = queryStart < 0 ? target : target.substring(0, queryStart);
        this.query = queryStart < 0 ? "" : target.substring(queryStart + 1);
        this.headers = Map.copyOf(headers);
        this.body = body;
        this.exchange = exchange;
    }

    /**
     * Returns the method.
     *
     * @return the HTTP method
     */
    public String method() {
        return method;
    }

    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        return path;
    }

    /**
     * Returns the segments of the path.
     *
     * @return the segments, without the empty one before the first slash
     */
    public String[] pathSegments() {
        return path.substring(1).split("/");
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name the name
     * @return the decoded value, empty when absent
     */
    public Optional<String> parameter(String name) {
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return Optional.of(URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the headers.
     *
     * @return the values by lower-case name; values of a repeated header are joined by a comma
     */
    public Map<String, String> headers() {
        return headers;
    }

    /**
     * Returns the attempt id.
     *
     * @return the value of {@code X-Request-Id}; empty when absent
     */
    public String attemptId() {
        return headers.getOrDefault(ATTEMPT_ID_HEADER, "");
    }

    /**
     * Returns the body.
     *
     * @return the body as UTF-8 text
     */
    public String body() {
        return body;
    }

    /**
     * Returns whether the connection was closed by either side or the stand-in was stopped, as by a crash.
     *
     * @return true if no response can reach the caller
     */
    public boolean isConnectionLost() {
        return exchange.isConnectionLost();
    }

    /**
     * Waits while the stand-in is paused or the connection is stalled.
     *
     * @throws IOException if the connection was lost or the stand-in was stopped meanwhile
     */
    public void awaitUnblocked() throws IOException {
        exchange.awaitUnblocked();
    }

    /**
     * Records the outcome of the request where the response does not determine it; ignored if one is recorded already.
     *
     * @param outcome the outcome
     */
    public void recordOutcome(ReceivedRequest.Outcome outcome) {
        exchange.recordOutcome(outcome);
    }
}
