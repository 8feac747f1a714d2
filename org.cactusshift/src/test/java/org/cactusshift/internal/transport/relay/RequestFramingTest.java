package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a body that is taken for a request: the two ends of a connection must agree on where it ends. */
class RequestFramingTest {
    private static final String INNER = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    private static final List<Integer> PART_BYTES = List.of(1_000, 1);
    private static final String INNER_IN_CHUNKS =
            Integer.toHexString(INNER.length()) + "\r\n" + INNER + "\r\n0\r\n\r\n";

    private final List<String> served = new ArrayList<>();
    private final EmbeddedCallers callers = new EmbeddedCallers(
            1_000_000,
            exchange ->
                    served.add(exchange.request().uri() + " " + exchange.body().toString(StandardCharsets.US_ASCII)));

    @AfterEach
    void close() {
        callers.close();
    }

    /** Sends a text on a new connection, in parts of a number of bytes; returns the statuses of the responses. */
    private List<String> send(String text, int partBytes) {
        EmbeddedChannel channel = callers.connect();
        EmbeddedCallers.write(channel, text, partBytes);
        return EmbeddedCallers.responseStatuses(channel);
    }

    private static String outer(String version, String framing) {
        return "POST /outer HTTP/" + version + "\r\nHost: h\r\n" + framing.replace("|", "\r\n") + "\r\n\r\n";
    }

    /** The rows: the version and the framing headers, with | for a line end, and the status of the rejection. */
    @ParameterizedTest
    @CsvSource({
        "1.1, Transfer-Encoding: gzip, 400",
        "1.1, Transfer-Encoding: identity, 400",
        "1.1, Transfer-Encoding: xchunked, 400",
        "1.1, Transfer-Encoding:, 400",
        "1.1, 'Transfer-Encoding: chunked, gzip', 400",
        "1.1, 'Transfer-Encoding: chunked, chunked', 400",
        "1.1, Transfer-Encoding: chunked|Transfer-Encoding: identity, 400",
        "1.1, Transfer-Encoding: chunked;a=b, 400",
        "1.1, 'Transfer-Encoding: gzip, \u000bchunked', 400",
        "1.1, Transfer-Encoding: chunked|Content-Length: 5, 400",
        "1.1, Transfer-Encoding: gzip|Content-Length: 0, 400",
        "1.0, Transfer-Encoding: chunked, 400",
        "1.0, Transfer-Encoding: gzip, 400",
        "1.1, 'Transfer-Encoding: gzip, chunked', 501",
        "1.1, Transfer-Encoding: gzip|Transfer-Encoding: chunked, 501"
    })
    void requestInAnotherTransferCodingIsRejected(String version, String framing, String status) {
        for (int partBytes : PART_BYTES) {
            assertEquals(List.of(status), send(outer(version, framing) + INNER, partBytes));
            assertEquals(List.of(), served);
            assertEquals(List.of("200", status), send(INNER + outer(version, framing) + INNER, partBytes));
            assertEquals(List.of("/inner "), served);
            served.clear();
        }
    }

    /** The rows: the framing headers, with | for a line end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked",
                "Transfer-Encoding: CHUNKED",
                "Transfer-Encoding:\tchunked ",
                "Transfer-Encoding: , chunked",
                "Transfer-Encoding: |Transfer-Encoding: chunked"
            })
    void chunkedRequestIsServedOnce(String framing) {
        for (int partBytes : PART_BYTES) {
            assertEquals(List.of("200"), send(outer("1.1", framing) + INNER_IN_CHUNKS, partBytes));
            assertEquals(List.of("/outer " + INNER), served);
            served.clear();
        }
    }

    /**
     * Guards against a request that runs and whose response is lost because of what follows on its connection. The
     * rows: what follows, with | for a line end, and the status of its rejection.
     */
    @ParameterizedTest
    @CsvSource({
        "POST /bad HTTP/1.1|Host: h|Transfer-Encoding: gzip||, 400",
        "POST /bad HTTP/1.1||, 400",
        "POST /bad HTTP/1.1|Host: h|Content-Length: 100001||, 413",
        "POST /bad HTTP/1.1|Host: h|Transfer-Encoding: chunked||zz|, 400",
        "no request||, 400"
    })
    void rejectionFollowsTheResponsesBeforeIt(String rejected, String status) {
        for (int partBytes : PART_BYTES) {
            EmbeddedChannel channel = callers.connect();
            EmbeddedCallers.write(
                    channel,
                    EmbeddedCallers.SLOW + EmbeddedCallers.SLOW + rejected.replace("|", "\r\n") + INNER,
                    partBytes);
            assertEquals(List.of(), EmbeddedCallers.responseStatuses(channel));
            assertEquals(List.of("200"), statusesAfterNextResponse(channel));
            assertEquals(List.of("200", status), statusesAfterNextResponse(channel));
            assertFalse(channel.isOpen());
            assertEquals(List.of(), served);
        }
    }

    /** Guards against a request that runs and whose response is lost because of too many requests behind it. */
    @Test
    void requestsBeforeOneTooManyAreServed() {
        EmbeddedChannel channel = callers.connect();
        EmbeddedCallers.write(channel, EmbeddedCallers.SLOW.repeat(15), 1_000);
        for (int i = 1; i < 9; i++) {
            assertEquals(List.of("200"), statusesAfterNextResponse(channel));
        }
        assertEquals(List.of("200", "503"), statusesAfterNextResponse(channel));
        assertFalse(channel.isOpen());
        assertFalse(callers.respondToSlow());
        assertEquals(List.of(), served);
    }

    private List<String> statusesAfterNextResponse(EmbeddedChannel channel) {
        callers.respondToSlow();
        return EmbeddedCallers.responseStatuses(channel);
    }
}
