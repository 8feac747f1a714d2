package org.cactusshift.internal.protocol.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into whole events, byte for byte.
 *
 * <p>An event ends with an empty line. Bytes after the last whole event are kept until its end arrives, so that an
 * upstream which breaks off never leaves half an event with the caller.
 */
public final class SseEventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final int maximumEventBytes;
    private final ByteBuf partial = Unpooled.buffer();
    private int scanned;
    private boolean lineIsEmpty = true;

    private SseEventSplitter(int maximumEventBytes) {
        this.maximumEventBytes = maximumEventBytes;
    }

    /**
     * Returns a splitter at the start of a stream.
     *
     * @param maximumEventBytes the longest event
     * @return the splitter
     */
    public static SseEventSplitter create(int maximumEventBytes) {
        return new SseEventSplitter(maximumEventBytes);
    }

    /**
     * An event as it came.
     *
     * @param id the number in its id field, empty when it has none
     * @param bytes the bytes with the empty line at their end
     */
    public record Event(OptionalLong id, byte[] bytes) {}

    /**
     * Takes bytes of the stream.
     *
     * @param bytes the bytes; read whole
     * @return the events that are whole now
     * @throws IllegalArgumentException if an event is longer than allowed
     */
    public List<Event> append(ByteBuf bytes) {
        partial.writeBytes(bytes);
        List<Event> events = new ArrayList<>();
        int position = partial.readerIndex() + scanned;
        while (position < partial.writerIndex()) {
            byte next = partial.getByte(position++);
            if (next == LINE_FEED) {
                if (lineIsEmpty) {
                    events.add(take(position));
                }
                lineIsEmpty = true;
            } else if (next != CARRIAGE_RETURN) {
                lineIsEmpty = false;
            }
        }
        scanned = position - partial.readerIndex();
        partial.discardReadBytes();
        if (partial.readableBytes() > maximumEventBytes) {
            throw new IllegalArgumentException("an event is longer than " + maximumEventBytes + " bytes");
        }
        return events;
    }

    /**
     * Returns whether bytes of an event wait for its end.
     *
     * @return whether they do
     */
    public boolean hasPartialEvent() {
        return partial.isReadable();
    }

    private Event take(int end) {
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
