package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.cactusshift.internal.transport.http.TransferCoding;

/**
 * The rule by which all clients of the relay accept a response: a status that HTTP defines, a framing that is decoded
 * here, and a proof that the body is complete. Whether the response answers the request is decided by
 * {@link ResponseProof}.
 */
final class ResponseValidity {
    private static final int FIRST_INTERIM_STATUS = 100;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_FINAL_STATUS = 599;

    private ResponseValidity() {}

    /** Returns whether a head precedes the final one. */
    static boolean isInterim(HttpResponse response) {
        int code = response.status().code();
        return code >= FIRST_INTERIM_STATUS && code < FIRST_FINAL_STATUS;
    }

    /** Returns why a head fails the exchange, empty when it is a valid interim or final head. */
    static Optional<String> faultOfHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            return Optional.of(
                    "the answer is no HTTP: " + response.decoderResult().cause().getMessage());
        }
        int code = response.status().code();
        if (code < FIRST_INTERIM_STATUS || code > LAST_FINAL_STATUS) {
            return Optional.of("status " + code + " is not defined by HTTP");
        }
        if (code == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            // No request of ours asks for another protocol; what follows is no HTTP.
            return Optional.of("the answer switches to another protocol");
        }
        TransferCoding coding = TransferCoding.of(
                response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING),
                response.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0);
        return coding == TransferCoding.NONE || coding == TransferCoding.CHUNKED
                ? Optional.empty()
                : Optional.of("the answer is in another transfer coding than chunks alone");
    }

    /** Returns whether nothing but the end of the connection marks the end of the body. */
    static boolean isDelimitedByClose(HttpResponse response, boolean haveNoBody) {
        boolean hasBody = !haveNoBody
                && !response.status().equals(HttpResponseStatus.NO_CONTENT)
                && !response.status().equals(HttpResponseStatus.NOT_MODIFIED);
        return hasBody && !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
    }

    /**
     * Returns why a response whose end was reached is not complete. A server that resets a connection while it is
     * being written to may be seen as an orderly end by the reader, as the system reports the reset only once, to the
     * writer.
     *
     * @param isDelimitedByClose whether only the end of the connection marks the end of the response
     * @param isRequestWritten whether the request was written completely, without an error
     */
    static Optional<String> faultOfEnd(boolean isDelimitedByClose, boolean isRequestWritten) {
        return isDelimitedByClose && !isRequestWritten
                ? Optional.of("the connection ended before the request was written")
                : Optional.empty();
    }
}
