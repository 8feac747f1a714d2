package org.cactusshift.internal.transport.http;

import java.io.IOException;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.HttpServerRequestHandler.ResponseTrigger;

/** One request of a caller with its whole body, and the way to answer it. Used by one thread. */
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
     * Returns the whole body of the request.
     *
     * @return the body, empty when there is none; not to be changed
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the method.
     *
     * @return the method in upper case, as sent
     */
    public String method() {
        return request.getMethod();
    }

    /**
     * Returns the path without the query, still percent-encoded.
     *
     * @return the raw path
     */
    public String path() {
        String target = target();
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /**
     * Returns the raw query.
     *
     * @return the text after the question mark, or empty when there is none
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
     * @param name the name of the header, in any case
     * @return the value, or empty when the header is absent
     */
    public Optional<String> header(String name) {
        Header header = request.getFirstHeader(name);
        return Optional.ofNullable(header).map(Header::getValue);
    }

    /**
     * Tells whether the caller has closed the connection. Takes up to a millisecond.
     *
     * @return true when an answer can't reach the caller any more
     */
    public boolean isCallerDisconnected() {
        return connection.isCallerDisconnected();
    }

    /**
     * Tells whether an answer was submitted.
     *
     * @return true once {@link #submit} was called
     */
    public boolean isSubmitted() {
        return submitted;
    }

    /**
     * Sends the answer and returns when all of it has been written.
     *
     * @param response the answer; its entity may produce the body while it is written
     * @throws HttpException if the answer breaks the protocol
     * @throws IOException if the caller is gone or doesn't read within the write timeout
     * @throws IllegalStateException if an answer was submitted before
     */
    public void submit(ClassicHttpResponse response) throws HttpException, IOException {
        if (submitted) {
            throw new IllegalStateException("an answer was submitted before");
        }
        submitted = true;
        if (connection.isStopping()) {
            response.setHeader(HttpHeaders.CONNECTION, "close");
        }
        trigger.submitResponse(response);
    }
}
