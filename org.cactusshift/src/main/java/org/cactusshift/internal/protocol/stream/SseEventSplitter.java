package org.cactusshift.internal.protocol.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into complete events without changing their bytes.
 *
 * <p>An event ends with an empty line. Lines end with LF; CR bytes are ignored in the search for an empty line. The
 * bytes of a partial event are buffered until its end arrives, so that the caller never receives a truncated event when
 * an upstream fails.
 */
public final class SseEventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COMMENT = ':';
    private static final String ID_FIELD = "id:";

    private final int maximumEventBytes;
    private final ByteBuf partial = Unpooled.buffer();
    /** The bytes of the partial event that have already been searched for its end. */
    private int scannedBytes;

    private boolean lineIsEmpty = true;

    private SseEventSplitter(int maximumEventBytes) {
        this.maximumEventBytes = maximumEventBytes;
    }

    /**
     * Returns a splitter at the start of a stream.
     *
     * @param maximumEventBytes the maximum length of a partial event that stays buffered after an append, in bytes; an
     *     event that is complete by then is not limited
     * @return the splitter
     */
    public static SseEventSplitter create(int maximumEventBytes) {
        return new SseEventSplitter(maximumEventBytes);
    }

    /**
     * An unchanged event.
     *
     * @param id the number in its id field; empty when it has none or it is not a number
     * @param bytes the bytes, including the empty line at the end
     */
    public record Event(OptionalLong id, byte[] bytes) {
        /**
         * Returns whether the event brings anything.
         *
         * @return false if it consists of comments only, which keep a connection alive
         */
        public boolean hasFields() {
            boolean lineStarts = true;
            for (byte next : bytes) {
                boolean isLineEnd = next == LINE_FEED || next == CARRIAGE_RETURN;
                if (lineStarts && !isLineEnd && next != COMMENT) {
                    return true;
                }
                lineStarts = isLineEnd;
            }
            return false;
        }
    }

    /**
     * Appends bytes of the stream.
     *
     * @param bytes the bytes; read to the end
     * @return the events that are now complete
     * @throws IllegalArgumentException if the event that is not yet complete is longer than allowed; the events that
     *     are now complete are not returned then
     */
    public List<Event> append(ByteBuf bytes) {
        partial.writeBytes(bytes);
        List<Event> events = new ArrayList<>();
        int position = partial.readerIndex() + scannedBytes;
        while (position < partial.writerIndex()) {
            byte next = partial.getByte(position++);
            if (next == LINE_FEED) {
                if (lineIsEmpty) {
                    events.add(removeEvent(position));
                }
                lineIsEmpty = true;
            } else if (next != CARRIAGE_RETURN) {
                lineIsEmpty = false;
            }
        }
        scannedBytes = position - partial.readerIndex();
        partial.discardReadBytes();
        if (partial.readableBytes() > maximumEventBytes) {
            throw new IllegalArgumentException(
                    "an incomplete server-sent event is longer than " + maximumEventBytes + " bytes");
        }
        return events;
    }

    /**
     * Returns whether a partial event is buffered.
     *
     * @return true when bytes of an event have arrived but not its end
     */
    public boolean hasPartialEvent() {
        return partial.isReadable();
    }

    /**
     * Returns the length of the partial event that is buffered.
     *
     * @return the bytes
     */
    public int partialBytes() {
        return partial.readableBytes();
    }

    private Event removeEvent(int end) {
        byte[] bytes = new byte[end - partial.readerIndex()];
        partial.readBytes(bytes);
        return new Event(id(bytes), bytes);
    }

    private static OptionalLong id(byte[] bytes) {
        for (String line : new String(bytes, StandardCharsets.ISO_8859_1).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    return OptionalLong.of(
                            Long.parseLong(line.substring(ID_FIELD.length()).trim()));
                } catch (NumberFormatException e) {
                    return OptionalLong.empty();
                }
            }
        }
        return OptionalLong.empty();
    }
}
