package org.cactusshift.internal.transport.http;

import java.io.IOException;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.HttpServerRequestHandler.ResponseTrigger;

/** A request from a caller with its complete body, and the means to send the response. Used by one thread. */
public final class HttpExchange {
    private final ClassicHttpRequest request;
    private final byte[] body;
    private final ResponseTrigger trigger;
    private final CallerConnection connection;
    private boolean submitted;

    HttpExchange(ClassicHttpRequest request, byte[] body, ResponseTrigger trigger, CallerConnection connection) {
        this.request = request;
        this.body = body;
        this.trigger = trigger;
        this.connection = connection;
    }

    /**
     * Returns the request line and headers.
     *
     * @return the request
     */
    public ClassicHttpRequest request() {
        return request;
    }

    /**
     * Returns the complete body of the request.
     *
     * @return the body, empty if there is none; must not be modified
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method, as sent by the caller
     */
    public String method() {
        return request.getMethod();
    }

    /**
     * Returns the path without the query, still percent-encoded.
     *
     * @return the raw path; empty if there is none
     */
    public String path() {
        String target = target();
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /**
     * Returns the raw query.
     *
     * @return the text after the question mark, or empty if there is none
     */
    public Optional<String> query() {
        String target = target();
        int query = target.indexOf('?');
        return query < 0 ? Optional.empty() : Optional.of(target.substring(query + 1));
    }

    private String target() {
        String target = request.getPath();
        return target == null ? "" : target;
    }

    /**
     * Returns the first value of a header.
     *
     * @param name the name of the header, case-insensitive
     * @return the value, or empty if the header is absent
     */
    public Optional<String> header(String name) {
        Header header = request.getFirstHeader(name);
        return Optional.ofNullable(header).map(Header::getValue);
    }

    /**
     * Returns whether the caller has closed the connection. Blocks for up to a millisecond.
     *
     * @return true if a response can no longer reach the caller
     */
    public boolean isCallerDisconnected() {
        return connection.isCallerDisconnected();
    }

    /**
     * Returns whether a response was submitted.
     *
     * @return true once {@link #submit} was called
     */
    public boolean isSubmitted() {
        return submitted;
    }

    /**
     * Sends the response and returns when all of it has been written.
     *
     * @param response the response; its entity may produce the body while it is written
     * @throws HttpException if the response violates the HTTP protocol
     * @throws IOException if the caller has disconnected or doesn't read within the write timeout
     * @throws IllegalStateException if a response was already submitted
     */
    public void submit(ClassicHttpResponse response) throws HttpException, IOException {
        if (submitted) {
            throw new IllegalStateException("a response was already submitted");
        }
        submitted = true;
        if (connection.isStopping()) {
            response.setHeader(HttpHeaders.CONNECTION, "close");
        }
        trigger.submitResponse(response);
    }
}
