package org.cactusshift.internal.transport.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpVersion;

/** Checks that the head of a message states the end of its body in one way only. */
final class FramingCheck {
    private FramingCheck() {}

    /** Returns why the end of the body is not certain, empty when it is. */
    static Optional<String> faultOf(HttpMessage message) {
        List<String> codings = new ArrayList<>();
        for (Header header : message.getHeaders(HttpHeaders.TRANSFER_ENCODING)) {
            codings.add(header.getValue() == null ? "" : header.getValue());
        }
        boolean isBeforeHttp11 =
                message.getVersion() != null && message.getVersion().lessEquals(HttpVersion.HTTP_1_0);
        TransferCoding coding = TransferCoding.of(codings, isBeforeHttp11);
        int lengths = message.countHeaders(HttpHeaders.CONTENT_LENGTH);
        if (lengths > 1 || (lengths == 1 && coding != TransferCoding.NONE)) {
            return Optional.of("the body's length is ambiguous");
        }
        return coding == TransferCoding.NONE || coding == TransferCoding.CHUNKED
                ? Optional.empty()
                : Optional.of("the body is in another transfer coding than chunks alone");
    }
}
