package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.cactusshift.internal.transport.http.ConnectionOptions;
import org.cactusshift.internal.transport.http.HopByHopHeaders;

/**
 * The headers that are passed on of a request or a response: all but the hop-by-hop headers, which concern one
 * connection only, and those that {@code Connection} names and that are not end-to-end.
 */
final class ForwardedHeaders {
    private ForwardedHeaders() {}

    /**
     * Returns the forwarded headers of a request.
     *
     * @param headers the headers as received; not modified
     * @param codec tells which headers are end-to-end
     */
    static HttpHeaders ofRequest(HttpHeaders headers, RelayCodec codec) {
        HttpHeaders forwarded = new DefaultHttpHeaders(false);
        forwarded.set(headers);
        ConnectionOptions.removableHeaders(headers.getAll(HttpHeaderNames.CONNECTION), codec.endToEndHeaders())
                .forEach(forwarded::remove);
        HopByHopHeaders.NAMES.forEach(forwarded::remove);
        return forwarded;
    }

    /**
     * Returns the forwarded headers of a response, without its length, since it may be passed on in another framing.
     *
     * @param headers the headers as received; not modified
     * @param codec tells which headers are end-to-end
     */
    static HttpHeaders ofResponse(HttpHeaders headers, RelayCodec codec) {
        HttpHeaders forwarded = ofRequest(headers, codec);
        forwarded.remove(HttpHeaderNames.CONTENT_LENGTH);
        return forwarded;
    }
}
