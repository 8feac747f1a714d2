package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.cactusshift.internal.coordination.limits.BufferLimit;
import org.cactusshift.internal.coordination.limits.BufferLimit.Selection;
import org.cactusshift.internal.coordination.limits.RequestMemory;
import org.cactusshift.internal.coordination.serving.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a body that is taken for a request: the two ends of a connection must agree on where it ends. */
class RequestFramingTest {
    private static final String INNER = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    private static final String SLOW = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([0-9]{3}) ");
    private static final List<Integer> PART_BYTES = List.of(1_000, 1);
    private static final String INNER_IN_CHUNKS =
            Integer.toHexString(INNER.length()) + "\r\n" + INNER + "\r\n0\r\n\r\n";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> served = new ArrayList<>();

    /** The requests that are responded to only later. */
    private final List<CallerExchange> slow = new ArrayList<>();

    private final CallerServer server = CallerServer.create(
            group,
            new SettableClock(),
            () -> new CallerLimits(8_192, 100_000, 60_000, 60_000),
            exchange -> {
                if (exchange.request().uri().equals("/slow")) {
                    exchange.setDisconnectListener(() -> served.add("disconnected"));
                    slow.add(exchange);
                    return;
                }
                served.add(exchange.request().uri() + " " + exchange.body().toString(StandardCharsets.US_ASCII));
                exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0]);
            },
            CallerServer.RequestNaming.NONE,
            (event, fields) -> {},
            new CallerMemory(
                    BufferLimit.of(Selection.LARGEST, 1_000_000),
                    BufferLimit.of(Selection.SLOWEST, 1_000_000),
                    RequestMemory.of(100_000_000)));

    @AfterEach
    void close() {
        group.shutdownGracefully();
    }

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(server.connectionHandlers(server.decoderConfig()));
    }

    /** Sends a text on a new connection, in parts of a number of bytes; returns the statuses of the responses. */
    private List<String> send(String text, int partBytes) {
        EmbeddedChannel channel = connect();
        write(channel, text, partBytes);
        List<String> statuses = responseStatuses(channel);
        channel.finishAndReleaseAll();
        return statuses;
    }

    private static void write(EmbeddedChannel channel, String text, int partBytes) {
        for (int start = 0; start < text.length() && channel.isOpen(); start += partBytes) {
            String part = text.substring(start, Math.min(text.length(), start + partBytes));
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
        }
    }

    private static List<String> responseStatuses(EmbeddedChannel channel) {
        StringBuilder responses = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            responses.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return STATUS_LINE
                .matcher(responses)
                .results()
                .map(line -> line.group(1))
                .toList();
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
            EmbeddedChannel channel = connect();
            write(channel, SLOW + SLOW + rejected.replace("|", "\r\n") + INNER, partBytes);
            assertEquals(List.of(), responseStatuses(channel));
            assertEquals(List.of("200"), statusesAfterNextResponse(channel));
            assertEquals(List.of("200", status), statusesAfterNextResponse(channel));
            assertFalse(channel.isOpen());
            assertEquals(List.of(), served);
        }
    }

    /** Guards against a request that runs and whose response is lost because of too many requests behind it. */
    @Test
    void requestsBeforeOneTooManyAreServed() {
        EmbeddedChannel channel = connect();
        write(channel, SLOW.repeat(15), 1_000);
        for (int i = 1; i < 9; i++) {
            assertEquals(List.of("200"), statusesAfterNextResponse(channel));
        }
        assertEquals(List.of("200", "503"), statusesAfterNextResponse(channel));
        assertFalse(channel.isOpen());
        assertEquals(List.of(), slow);
        assertEquals(List.of(), served);
    }

    private List<String> statusesAfterNextResponse(EmbeddedChannel channel) {
        slow.remove(0).respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0]);
        return responseStatuses(channel);
    }
}
