package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against responses whose end is not where their head says, and connections that are reused after them. */
class ResponseFramingTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final HttpClientConnection connection = new HttpClientConnection(
            HttpConnectionPool.create(channel.eventLoop(), new SettableClock()), "127.0.0.1:1");
    private final StringBuilder received = new StringBuilder();

    /** Keeps what is written, as a socket whose buffer is full does. */
    private static final class BlockedOutput extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
        }
    }

    private final class Recorder implements HttpResponseListener {
        @Override
        public void onHead(HttpResponse response) {
            received.append(response.status().code()).append(' ');
        }

        @Override
        public void onContent(ByteBuf content) {
            received.append(content.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onComplete() {
            received.append(" complete");
        }

        @Override
        public void onFailure(String reason) {
            received.append(" failed");
        }
    }

    private void send(HttpMethod method) {
        connection.send(
                method,
                "/",
                new DefaultHttpHeaders(),
                Unpooled.wrappedBuffer(new byte[10]),
                ResponseProof.ofConnection(),
                new Recorder());
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text.replace("|", "\r\n"), StandardCharsets.US_ASCII));
    }

    /** The rows: the response, with | for a line end, what is received of it, and whether the connection is reused. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK|Content-Length: 4||full, 200 full complete, true",
        "HTTP/1.1 200 OK|Content-Length: 4|Content-Length: 5||full, ' failed', false",
        "HTTP/1.1 200 OK|Content-Length: 4|Content-Length: 4||full, ' failed', false",
        "HTTP/1.1 200 OK|Content-Length: 2||full, 200 fu complete, false",
        "HTTP/1.1 200 OK|Content-Length: 9||full, 200 full failed, false",
        "HTTP/1.1 200 OK|Content-Length: 9|Transfer-Encoding: chunked||4|full|0||, ' failed', false",
        "HTTP/1.1 200 OK|Transfer-Encoding: gzip||full, ' failed', false",
        "HTTP/1.1 200 OK|Transfer-Encoding: identity||full, ' failed', false",
        "HTTP/1.1 200 OK|Transfer-Encoding: gzip|Content-Length: 4||full, ' failed', false",
        "'HTTP/1.1 200 OK|Transfer-Encoding: gzip, chunked||4|full|0||', ' failed', false",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked, chunked||4|full|0||', ' failed', false",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked|Transfer-Encoding: gzip||4|full|0||, ' failed', false",
        "HTTP/1.0 200 OK|Transfer-Encoding: chunked||4|full|0||, ' failed', false",
        "HTTP/1.0 200 OK||full, 200 full complete, false",
        "HTTP/1.0 200 OK|Content-Length: 4||full, 200 full complete, false",
        "HTTP/1.0 200 OK|Content-Length: 4|Connection: keep-alive||full, 200 full complete, true",
        "HTTP/1.1 204 No Content||full, 204  complete, false",
        "HTTP/1.1 304 Not Modified|Content-Length: 4||full, 304  complete, false",
        "HTTP/1.1 304 Not Modified|Content-Length: 4||, 304  complete, true",
        "HTTP/1.1 101 Switching Protocols|Upgrade: x||full, ' failed', false",
        "HTTP/1.1 100 Continue||HTTP/1.1 200 OK|Content-Length: 4||full, 200 full complete, true",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|full|0|X-After: 1||, 200 full complete, true",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|full|0|X-After: 1, 200 full failed, false",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|full|, 200 full failed, false",
        "HTTP/1.1 000|Content-Length: 4||full, ' failed', false",
        "HTTP/1.1 600 X|Content-Length: 4||full, ' failed', false"
    })
    void responseIsCompleteOnlyWhereItsHeadSays(String response, String expected, boolean reused) {
        channel.pipeline().addLast(connection.handlers(new HttpDecoderConfig()));
        send(HttpMethod.POST);
        receive(response);
        boolean isOpen = channel.isOpen() && received.indexOf("complete") >= 0;
        channel.close();
        assertEquals(expected, received.toString());
        assertEquals(reused, isOpen);
    }

    /** The rows: the rest of a response that begins before its request is written, and what is received of it. */
    @ParameterizedTest
    @CsvSource({
        "'|half', 200 half failed",
        "'Content-Length: 4||full', 200 full complete",
        "'Content-Length: 9||half', 200 half failed",
        "'Transfer-Encoding: chunked||4|full|0||', 200 full complete"
    })
    void responseToAnUnwrittenRequestNeedsAnEndOfItsOwn(String rest, String expected) {
        channel.pipeline().addLast(new BlockedOutput());
        channel.pipeline().addLast(connection.handlers(new HttpDecoderConfig()));
        send(HttpMethod.POST);
        receive("HTTP/1.1 200 OK|" + rest);
        channel.close();
        assertEquals(expected, received.toString());
        assertFalse(channel.isOpen());
    }

    /** Guards against a response that a server sent before any request, and that would answer the next one. */
    @Test
    void responseBeforeItsRequestClosesTheConnection() {
        channel.pipeline().addLast(connection.handlers(new HttpDecoderConfig()));
        receive("HTTP/1.1 200 OK|Content-Length: 4||full");
        assertFalse(channel.isOpen());
    }

    /** Guards against a wait for the body of a response that has none. */
    @Test
    void responseToHeadIsCompleteWithoutALength() {
        channel.pipeline().addLast(connection.handlers(new HttpDecoderConfig()));
        send(HttpMethod.HEAD);
        receive("HTTP/1.1 200 OK||");
        assertEquals("200  complete", received.toString());
    }
}
