package org.cactusshift.internal.coordination.lease;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * The durable record of a duty with the fencing number of its last writer.
 *
 * @param fencingNumber the fencing number under which the value was written; 0 before the first holder
 * @param writer a token that no other write carries; tells a writer whose answer was lost that the value is its own
 * @param body the record
 */
public record FencedValue(long fencingNumber, String writer, byte[] body) {
    private static final char HEADER_END = '\n';
    private static final String HEADER_SEPARATOR = " ";
    private static final int HEADER_PARTS = 2;

    /** The value of a record that was never written. */
    public static final FencedValue ABSENT = new FencedValue(0, "", new byte[0]);

    /**
     * Writes the value as bytes: a header line and the body.
     *
     * @return the bytes
     */
    public byte[] toBytes() {
        byte[] header = (fencingNumber + HEADER_SEPARATOR + writer + HEADER_END).getBytes(StandardCharsets.UTF_8);
        byte[] bytes = Arrays.copyOf(header, header.length + body.length);
        System.arraycopy(body, 0, bytes, header.length, body.length);
        return bytes;
    }

    /**
     * Reads a value from bytes.
     *
     * @param bytes the bytes
     * @return the value, empty when the header has another form
     */
    public static Optional<FencedValue> fromBytes(byte[] bytes) {
        int end = 0;
        while (end < bytes.length && bytes[end] != HEADER_END) {
            end++;
        }
        if (end == bytes.length) {
            return Optional.empty();
        }
        String[] header = new String(bytes, 0, end, StandardCharsets.UTF_8).split(HEADER_SEPARATOR, -1);
        if (header.length != HEADER_PARTS) {
            return Optional.empty();
        }
        try {
            byte[] body = Arrays.copyOfRange(bytes, end + 1, bytes.length);
            return Optional.of(new FencedValue(Long.parseLong(header[0]), header[1], body));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
