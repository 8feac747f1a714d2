package org.cactusshift.internal.coordination.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A value as stored by {@link ConclusiveWriter}: the marks of the latest writes, newest first, then the payload.
 *
 * <p>By the marks, a writer whose response was lost can determine whether its write took effect, even after later
 * writes by others. The encoded form is one line of marks followed by the unchanged payload.
 *
 * @param marks the marks, newest first; at least one
 * @param payload the bytes of the value without marks
 */
public record ValueEnvelope(List<WriteMark> marks, byte[] payload) {
    private static final String PREFIX = "marks ";

    /** The outcome of a write that this many others have followed can't be determined by its mark any more. */
    private static final int MAXIMUM_MARKS = 8;

    /** Copies the list and checks that it is not empty. */
    public ValueEnvelope {
        marks = List.copyOf(marks);
        if (marks.isEmpty()) {
            throw new IllegalArgumentException("value envelope without marks");
        }
    }

    /**
     * Creates the envelope of a write.
     *
     * @param mark the mark of the write
     * @param replaced the value that it replaces; empty when the key is absent
     * @param payload the bytes of the value without marks
     * @return the envelope, which retains the latest marks of the replaced value
     */
    public static ValueEnvelope next(WriteMark mark, Optional<VersionedValue> replaced, byte[] payload) {
        List<WriteMark> marks = new ArrayList<>();
        marks.add(mark);
        replaced.flatMap(value -> decode(value.value()))
                .ifPresent(envelope ->
                        envelope.marks().stream().limit(MAXIMUM_MARKS - 1).forEach(marks::add));
        return new ValueEnvelope(marks, payload);
    }

    /**
     * Decodes an envelope.
     *
     * @param bytes the stored bytes
     * @return the envelope; empty when the bytes are malformed or carry no marks
     */
    public static Optional<ValueEnvelope> decode(byte[] bytes) {
        int end = 0;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        String line = new String(bytes, 0, end, StandardCharsets.US_ASCII);
        if (end == bytes.length || !line.startsWith(PREFIX)) {
            return Optional.empty();
        }
        try {
            List<WriteMark> marks = new ArrayList<>();
            for (String part : line.substring(PREFIX.length()).split(" ")) {
                int colon = part.indexOf(':');
                marks.add(new WriteMark(part.substring(0, colon), Long.parseLong(part.substring(colon + 1))));
            }
            return Optional.of(new ValueEnvelope(marks, Arrays.copyOfRange(bytes, end + 1, bytes.length)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    /**
     * Encodes the envelope.
     *
     * @return the bytes
     */
    public byte[] encode() {
        StringBuilder line = new StringBuilder(PREFIX.stripTrailing());
        for (WriteMark mark : marks) {
            line.append(' ').append(mark.writerToken()).append(':').append(mark.baseRevision());
        }
        byte[] head = line.append('\n').toString().getBytes(StandardCharsets.US_ASCII);
        byte[] bytes = Arrays.copyOf(head, head.length + payload.length);
        System.arraycopy(payload, 0, bytes, head.length, payload.length);
        return bytes;
    }
}
