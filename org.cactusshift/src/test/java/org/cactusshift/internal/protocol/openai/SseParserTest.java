package org.cactusshift.internal.protocol.openai;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SseParserTest {
    private static final String STREAM =
            "\uFEFF: keep-alive\n\ndata: {\"a\":\"é€😀\"}\n\nevent: x\nid: 7\ndata:two\ndata: lines\n\n"
                    + ": comment\r\ndata: crlf\r\n\r\ndata: cr\r\rdata\n\ndata: [DONE]\n\ndata: unfinished";
    private static final List<String> EVENTS = List.of("{\"a\":\"é€😀\"}", "two\nlines", "crlf", "cr", "", "[DONE]");

    private static List<String> drain(SseParser parser) {
        List<String> events = new ArrayList<>();
        String event = parser.poll();
        while (event != null) {
            events.add(event);
            event = parser.poll();
        }
        return events;
    }

    @Property(tries = 1, seed = "1")
    void parsesAStreamThatIsSplitAtAnyByte() {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int split = 0; split <= bytes.length; split++) {
            SseParser parser = new SseParser();
            parser.feed(bytes, split);
            byte[] rest = Arrays.copyOfRange(bytes, split, bytes.length);
            List<String> events = drain(parser);
            parser.feed(rest, rest.length);
            events.addAll(drain(parser));
            assertEquals(EVENTS, events, "split at " + split);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7})
    void parsesAStreamInSmallParts(int partBytes) {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        SseParser parser = new SseParser();
        for (int at = 0; at < bytes.length; at += partBytes) {
            byte[] part = Arrays.copyOfRange(bytes, at, Math.min(at + partBytes, bytes.length));
            parser.feed(part, part.length);
        }
        assertEquals(EVENTS, drain(parser));
    }

    @Property(tries = 500, seed = "20261203")
    void splittingNeverChangesTheEvents(@ForAll byte[] bytes, @ForAll int where) {
        int split = Math.floorMod(where, bytes.length + 1);
        SseParser whole = new SseParser();
        whole.feed(bytes, bytes.length);
        SseParser parts = new SseParser();
        parts.feed(bytes, split);
        byte[] rest = Arrays.copyOfRange(bytes, split, bytes.length);
        parts.feed(rest, rest.length);
        assertEquals(drain(whole), drain(parts));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "data: a\n"})
    void feedReturnsFalseWhenAnEventExceedsTheLimit(String filling) {
        // In both cases, fewer than 60 blocks exceed the limit of 4 MiB.
        byte[] block = filling.repeat(100_000).getBytes(StandardCharsets.UTF_8);
        SseParser parser = new SseParser();
        boolean withinLimit = true;
        for (int i = 0; i < 60 && withinLimit; i++) {
            withinLimit = parser.feed(block, block.length);
        }
        assertFalse(withinLimit);
    }
}
