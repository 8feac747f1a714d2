package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import org.cactusshift.internal.coordination.serving.CallerLimits;

/**
 * A caller's connection: collects whole requests and hands them on one after the other.
 *
 * <p>Reading goes on while a request is under way, so that a caller which leaves is noticed at once.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Requests that a caller may send before the answer to the first; more are a sign of abuse. */
    private static final int MAXIMUM_PIPELINED = 8;

    private final CallerServer server;
    private final ArrayDeque<CallerExchange> waiting = new ArrayDeque<>();
    private Channel channel;
    private CallerExchange current;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private boolean closing;
    private long quietSinceMillis;
    private long partialSinceMillis;
    private boolean inRequest;

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    boolean isDraining() {
        return server.isDraining();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        quietSinceMillis = server.steadyMillis();
    }

    /** Notes bytes before they are decoded, so that a slow head is noticed. */
    void onBytes() {
        if (!inRequest && current == null) {
            inRequest = true;
            partialSinceMillis = server.steadyMillis();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (closing) {
                return;
            }
            if (message instanceof HttpRequest request) {
                onHead(request);
            }
            if (!closing && message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest request) {
        inRequest = true;
        partialSinceMillis = server.steadyMillis();
        if (request.decoderResult().isFailure()) {
            refuse(statusOf(request.decoderResult().cause()));
            return;
        }
        boolean ambiguousLength = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (ambiguousLength || request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > server.limits().maximumBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            request.headers().remove(HttpHeaderNames.EXPECT);
        }
        head = request;
        body = Unpooled.EMPTY_BUFFER;
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        return cause instanceof TooLongHttpHeaderException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        ByteBuf bytes = content.content();
        if (body.readableBytes() + bytes.readableBytes() > server.limits().maximumBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (bytes.isReadable()) {
            partialSinceMillis = server.steadyMillis();
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer((int) Math.max(HttpUtil.getContentLength(head, 0L), bytes.readableBytes()));
            }
            body.writeBytes(bytes);
        }
        if (content instanceof LastHttpContent) {
            inRequest = false;
            CallerExchange exchange = new CallerExchange(this, channel, head, body, server.steadyMillis());
            head = null;
            if (current == null) {
                start(exchange);
            } else if (waiting.size() < MAXIMUM_PIPELINED) {
                waiting.addLast(exchange);
            } else {
                closeNow();
            }
        }
    }

    private void start(CallerExchange exchange) {
        current = exchange;
        server.onRequestStarted();
        server.handler().onRequest(exchange);
    }

    /** Answers a request that cannot be read; nothing of it went to an upstream. */
    private void refuse(HttpResponseStatus status) {
        closing = true;
        server.onUnreadable(status.code(), String.valueOf(channel.remoteAddress()));
        if (current != null) {
            current.callerGone();
            channel.close();
            return;
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    void onAnswered(CallerExchange exchange, boolean keep) {
        if (exchange != current) {
            return;
        }
        current = null;
        server.onRequestEnded();
        quietSinceMillis = server.steadyMillis();
        if (!keep) {
            closeNow();
        } else if (!waiting.isEmpty()) {
            start(waiting.removeFirst());
        }
    }

    private void closeNow() {
        closing = true;
        channel.close();
    }

    /** Closes the connection when its caller is slow or idle for longer than allowed. */
    void sweep(long nowMillis, CallerLimits limits) {
        if (current != null || closing) {
            return;
        }
        if (inRequest) {
            if (nowMillis - partialSinceMillis > limits.headerTimeoutMillis()) {
                refuse(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (nowMillis - quietSinceMillis > limits.idleTimeoutMillis()) {
            closeNow();
        }
    }

    /** Closes the connection if no request is under way or arriving. */
    void closeIfQuiet(long nowMillis, long quietMillis) {
        if (current == null && !inRequest && nowMillis - quietSinceMillis >= quietMillis) {
            closeNow();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable() && current != null) {
            current.becameWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        server.onClosed(this);
        if (current != null) {
            CallerExchange left = current;
            current = null;
            server.onRequestEnded();
            left.callerGone();
        }
        waiting.clear();
    }
}
