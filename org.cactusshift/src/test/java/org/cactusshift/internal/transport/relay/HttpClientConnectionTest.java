package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpClientConnectionTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final HttpClientConnection connection = new HttpClientConnection(
            HttpConnectionPool.create(channel.eventLoop(), new SettableClock()), "127.0.0.1:1");

    /** Stops reading at the first part of a body, as for a caller that reads slowly. */
    private final class PausingListener implements HttpResponseListener {
        private boolean complete;

        @Override
        public void onHead(HttpResponse response) {
            // Only the body matters.
        }

        @Override
        public void onContent(ByteBuf content) {
            connection.setReading(false);
        }

        @Override
        public void onComplete() {
            complete = true;
        }

        @Override
        public void onFailure(String reason) {
            throw new AssertionError(reason);
        }
    }

    /** Guards against an idle connection that is not read, so that its close and the next response go unnoticed. */
    @Test
    void connectionIsReadAgainWhenAPausedExchangeEnds() {
        channel.pipeline().addLast(connection.handlers(new HttpDecoderConfig()));
        PausingListener listener = new PausingListener();
        connection.send(
                HttpMethod.GET,
                "/",
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                ResponseProof.ofConnection(),
                listener);
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 1);
        channel.writeInbound(
                response,
                new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[1])),
                LastHttpContent.EMPTY_LAST_CONTENT);
        assertTrue(listener.complete);
        assertTrue(channel.config().isAutoRead());
    }

    /** The rows: the number of interim responses before the final one, and whether the exchange fails. */
    @ParameterizedTest
    @CsvSource({"1, false", "16, false", "17, true"})
    void exchangeFailsAfterTooManyInterimResponses(int interimResponses, boolean fails) {
        channel.pipeline().addLast(connection.handlers(new HttpDecoderConfig()));
        List<String> outcomes = new ArrayList<>();
        connection.send(
                HttpMethod.GET,
                "/",
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                ResponseProof.ofConnection(),
                new HttpResponseListener() {
                    @Override
                    public void onHead(HttpResponse response) {
                        // Only the end matters.
                    }

                    @Override
                    public void onContent(ByteBuf content) {
                        throw new AssertionError("no content was sent");
                    }

                    @Override
                    public void onComplete() {
                        outcomes.add("complete");
                    }

                    @Override
                    public void onFailure(String reason) {
                        outcomes.add("failed");
                    }
                });
        for (int i = 0; i < interimResponses; i++) {
            channel.writeInbound(
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.PROCESSING),
                    LastHttpContent.EMPTY_LAST_CONTENT);
        }
        assertEquals(!fails, channel.isOpen());
        if (!fails) {
            channel.writeInbound(
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK),
                    LastHttpContent.EMPTY_LAST_CONTENT);
        }
        assertEquals(List.of(fails ? "failed" : "complete"), outcomes);
    }
}
