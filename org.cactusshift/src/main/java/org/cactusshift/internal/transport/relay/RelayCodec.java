package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Reads and writes what a site's protocol adds to HTTP. Decides nothing. */
public interface RelayCodec {
    /**
     * Reads what a caller says of its request.
     *
     * @param request the head of the request
     * @return what it says
     * @throws MalformedRequestException if a header has another form than the protocol allows
     */
    RequestMetadata readRequest(HttpRequest request) throws MalformedRequestException;

    /**
     * Turns the headers of a caller's request into those for an upstream: removes what a caller may not set and adds
     * what the node orders.
     *
     * @param headers the headers, already without those that concern one connection
     * @param order what the node orders
     */
    void writeDirectives(HttpHeaders headers, AttemptDirectives order);

    /**
     * Reads what an upstream says in the head of its answer.
     *
     * @param response the head of the answer
     * @return what it says
     */
    ResponseMetadata readResponse(HttpResponse response);

    /**
     * Reads the name of the memory that an engine keeps after it read a prompt for another engine.
     *
     * @param body the body of the engine's answer
     * @return the name, empty when the body has another form
     */
    Optional<String> readKvHandle(byte[] body);

    /**
     * Returns the path at which an engine frees memory that it keeps for another engine.
     *
     * @param memoryName the name of the memory
     * @return the path of a DELETE request
     */
    String kvReleasePath(String memoryName);

    /**
     * Adds how long the caller should wait before it asks again.
     *
     * @param headers the headers of a refusal
     * @param millis the time
     */
    void writeRetryAfter(HttpHeaders headers, long millis);
}
