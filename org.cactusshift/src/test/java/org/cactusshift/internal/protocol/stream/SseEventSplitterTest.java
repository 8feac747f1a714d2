package org.cactusshift.internal.protocol.stream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SseEventSplitterTest {
    /** The third event has a field that is unknown to the splitter before its id. */
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight: 3\nid:3\ndata: c\n\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 16, 1_000})
    void eventsDoNotDependOnHowTheBytesAreSplit(int partBytes) {
        SseEventSplitter splitter = SseEventSplitter.create(1_000);
        List<SseEventSplitter.Event> events = new ArrayList<>();
        byte[] all = bytes(STREAM);
        for (int start = 0; start < all.length; start += partBytes) {
            int length = Math.min(partBytes, all.length - start);
            events.addAll(splitter.append(Unpooled.wrappedBuffer(all, start, length)));
        }
        assertEquals(
                List.of(1L, 2L, 3L),
                events.stream().map(event -> event.id().getAsLong()).toList());
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        events.forEach(event -> joined.writeBytes(event.bytes()));
        assertArrayEquals(all, joined.toByteArray());
    }

    @Test
    void partialEventIsBuffered() {
        SseEventSplitter splitter = SseEventSplitter.create(1_000);
        assertEquals(List.of(), splitter.append(Unpooled.wrappedBuffer(bytes("id: 1\ndata: a\n"))));
        assertTrue(splitter.hasPartialEvent());
    }

    @Test
    void eventOverTheLimitIsRejected() {
        SseEventSplitter splitter = SseEventSplitter.create(10);
        assertThrows(
                IllegalArgumentException.class, () -> splitter.append(Unpooled.wrappedBuffer(bytes("data: too long"))));
    }

    private static boolean hasFields(String text) {
        List<SseEventSplitter.Event> events =
                SseEventSplitter.create(1_000).append(Unpooled.wrappedBuffer(bytes(text)));
        assertEquals(1, events.size());
        return events.get(0).hasFields();
    }

    @ParameterizedTest
    @ValueSource(strings = {":\n\n", ": x\r\n:\r\n\r\n", "\n"})
    void commentsAreNoFields(String text) {
        assertFalse(hasFields(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {": x\nid: 1\n\n", "data:\n\n", "id: 1\r\n\r\n"})
    void eventWithALineThatIsNoCommentHasFields(String text) {
        assertTrue(hasFields(text));
    }
}
