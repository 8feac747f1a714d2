package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Encodes and decodes the headers and bodies that the platform's protocol adds to HTTP. Makes no decisions. */
public interface RelayCodec extends CallerServer.RequestNaming {
    /**
     * Parses the metadata of a caller's request.
     *
     * @param request the head of the request
     * @return the metadata
     * @throws MalformedRequestException if a header is malformed
     */
    RequestMetadata readRequest(HttpRequest request) throws MalformedRequestException;

    /**
     * Returns the headers of the protocol that are passed on even where their sender lists them in {@code Connection}.
     *
     * @return the names, in lower case
     */
    Set<String> endToEndHeaders();

    /**
     * Turns the headers of a caller's request, in place, into those for an upstream: removes headers that a caller may
     * not set and adds the directives of the node.
     *
     * @param headers the headers, already without hop-by-hop headers; modified
     * @param directives the directives
     */
    void writeDirectives(HttpHeaders headers, AttemptDirectives directives);

    /**
     * Parses the metadata of an upstream's response.
     *
     * @param response the head of the response
     * @return the metadata
     */
    ResponseMetadata readResponse(HttpResponse response);

    /**
     * Returns the ids of the requests to which a response states that it belongs.
     *
     * @param response the head of the response
     * @return the ids as stated, not validated; one unless the upstream is in trouble
     */
    List<String> requestIds(HttpResponse response);

    /**
     * Parses the KV handle that a prefill engine returns: the name of the KV cache that it retains for a decode engine.
     *
     * @param body the body of the prefill engine's response
     * @return the KV handle, empty when the body is malformed
     */
    Optional<String> readKvHandle(byte[] body);

    /**
     * Returns the path at which a prefill engine releases the KV cache that it retains for a decode engine.
     *
     * @param kvHandle the KV handle
     * @return the path of a DELETE request
     */
    String kvReleasePath(String kvHandle);

    /**
     * Sets the Retry-After header of a refusal.
     *
     * @param headers the headers of a refusal
     * @param millis the time that the caller should wait before a retry, in milliseconds
     */
    void writeRetryAfter(HttpHeaders headers, long millis);
}
