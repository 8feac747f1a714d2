package org.cactusshift.standin;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/** One request as a {@link StandInHandler} sees it. */
public final class StandInRequest {
    /** The header that carries the attempt id. */
    public static final String REQUEST_ID_HEADER = "x-request-id";

    private final String method;

    private final String path;

    private final String query;

    private final Map<String, String> headers;

    private final String body;

    private final StandInExchange exchange;

    StandInRequest(String method, String target, Map<String, String> headers, String body, StandInExchange exchange) {
        this.method = method;
        int mark = target.indexOf('?');
        this.path = mark < 0 ? target : target.substring(0, mark);
        this.query = mark < 0 ? "" : target.substring(mark + 1);
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
     * @return the values by lower-case name
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
        return headers.getOrDefault(REQUEST_ID_HEADER, "");
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
     * Tells whether the caller has closed its connection or the stand-in has crashed.
     *
     * @return true when no answer can arrive
     */
    public boolean isConnectionLost() {
        return exchange.isConnectionLost();
    }

    /**
     * Waits while the stand-in is paused or the connection is silent.
     *
     * @throws IOException if the exchange ended meanwhile
     */
    public void awaitUnpaused() throws IOException {
        exchange.awaitUnpaused();
    }

    /**
     * Notes what became of the request, when the answer alone does not tell.
     *
     * @param outcome the outcome
     */
    public void recordOutcome(ReceivedRequest.Outcome outcome) {
        exchange.recordOutcome(outcome);
    }
}
