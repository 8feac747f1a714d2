package org.cactusshift.internal.transport.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.SoftwareVersion;

/**
 * Tells another node which software version began a stream, or asks it. Encoded as text: a letter, the request and the
 * version, separated by spaces.
 *
 * @param request the request whose response brought the first event of the stream
 * @param version the version that began it; empty in a question
 */
record StreamOriginMessage(RequestId request, Optional<SoftwareVersion> version) {
    private static final String TELL = "T ";
    private static final String ASK = "A ";

    byte[] encode() {
        String text = version.map(begun -> TELL + request.value() + " " + begun.value())
                .orElse(ASK + request.value());
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a message; returns empty when the bytes are another kind of message, or malformed. */
    static Optional<StreamOriginMessage> decode(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        try {
            if (text.startsWith(ASK)) {
                return Optional.of(
                        new StreamOriginMessage(RequestId.fromString(text.substring(ASK.length())), Optional.empty()));
            }
            int end = text.indexOf(' ', TELL.length());
            if (!text.startsWith(TELL) || end < 0) {
                return Optional.empty();
            }
            return Optional.of(new StreamOriginMessage(
                    RequestId.fromString(text.substring(TELL.length(), end)),
                    Optional.of(SoftwareVersion.fromString(text.substring(end + 1)))));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
