package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;

class HttpClientConnectionTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final HttpClientConnection connection = new HttpClientConnection(
            HttpConnectionPool.create(channel.eventLoop(), new SettableClock()), "127.0.0.1:1");

    /** Stops reading at the first part of a body, as for a caller that reads slowly. */
    private final class PausingListener implements HttpResponseListener {
        private boolean complete;

        @Override
        public boolean onHead(HttpResponse response) {
            return true;
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
        channel.pipeline().addLast(connection);
        PausingListener listener = new PausingListener();
        connection.send(HttpMethod.GET, "/", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, listener);
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 1);
        channel.writeInbound(
                response,
                new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[1])),
                LastHttpContent.EMPTY_LAST_CONTENT);
        assertTrue(listener.complete);
        assertTrue(channel.config().isAutoRead());
    }
}
