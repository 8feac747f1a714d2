package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;
import org.cactusshift.internal.transport.http.TransferCoding;

/** The rule by which all servers of the relay accept the head of a request. */
final class RequestValidity {
    private RequestValidity() {}

    /**
     * Why a request is rejected, without having been run.
     *
     * @param status the status of the response
     * @param reason the reason, for the log
     */
    record Fault(HttpResponseStatus status, String reason) {}

    /**
     * Returns why a head is rejected, empty when it is valid. What follows a rejected head must not be decoded, as the
     * end of its body is not known.
     *
     * @param request the head
     * @param maximumBodyBytes the longest allowed body, in bytes
     */
    static Optional<Fault> faultOfHead(HttpRequest request, long maximumBodyBytes) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            // The message of the cause may quote the request, and with it a key.
            return fault(
                    statusOf(cause),
                    "the head is malformed: " + cause.getClass().getSimpleName());
        }
        HttpHeaders headers = request.headers();
        if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
            return fault(HttpResponseStatus.BAD_REQUEST, "not exactly one host");
        }
        Optional<Fault> codingFault = faultOfTransferCoding(request);
        if (codingFault.isPresent()) {
            return codingFault;
        }
        if (HttpUtil.getContentLength(request, 0L) > maximumBodyBytes) {
            return fault(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        }
        return Optional.empty();
    }

    private static Optional<Fault> faultOfTransferCoding(HttpRequest request) {
        TransferCoding coding = TransferCoding.of(
                request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING),
                request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0);
        if (coding == TransferCoding.NONE) {
            return Optional.empty();
        }
        if (coding == TransferCoding.UNDELIMITED) {
            return fault(HttpResponseStatus.BAD_REQUEST, "the transfer coding does not delimit the body");
        }
        if (request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            return fault(HttpResponseStatus.BAD_REQUEST, "both a transfer coding and a length");
        }
        return coding == TransferCoding.UNSUPPORTED
                ? fault(HttpResponseStatus.NOT_IMPLEMENTED, "the transfer coding is not supported")
                : Optional.empty();
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        return cause instanceof TooLongHttpHeaderException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    private static Optional<Fault> fault(HttpResponseStatus status, String reason) {
        return Optional.of(new Fault(status, reason));
    }
}
