package org.cactusshift.internal.coordination.lease;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * The stored value of a duty's durable record: the body with the fencing number of its last writer.
 *
 * @param fencingNumber the fencing number under which the value was written; 0 before the first holder
 * @param writer the writer token, unique to the write, by which a writer whose response was lost recognizes its own
 *     value
 * @param body the content of the record
 */
public record FencedValue(long fencingNumber, String writer, byte[] body) {
    private static final char HEADER_END = '\n';
    private static final String HEADER_SEPARATOR = " ";
    private static final int HEADER_PARTS = 2;

    /** Stands for the value of a record that was never written or is malformed. */
    public static final FencedValue ABSENT = new FencedValue(0, "", new byte[0]);

    /**
     * Encodes the value as a header line followed by the body.
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
     * Decodes a value.
     *
     * @param bytes the bytes
     * @return the value; empty when the header is malformed
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
