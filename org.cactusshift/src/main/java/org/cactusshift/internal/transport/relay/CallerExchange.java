package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** A complete request of a caller and the means to respond to it at most once. To be used on the event loop only. */
public final class CallerExchange {
    private final CallerConnection connection;
    private final Channel channel;
    private final HttpRequest request;
    private final ByteBuf body;
    private final long receivedAtMillis;
    private final boolean bodyMissing;
    private Runnable disconnectListener = () -> {};
    private Runnable writableListener = () -> {};
    private long stallLimitMillis = Long.MAX_VALUE;
    private State state = State.OPEN;

    private enum State {
        /** No response has been started. */
        OPEN,
        /** A streamed response is in progress. */
        STREAMING,
        /** The complete response has been handed to the channel. */
        ANSWERED,
        /** The caller has disconnected, or the response was aborted. */
        GONE
    }

    CallerExchange(
            CallerConnection connection, Channel channel, HttpRequest request, ByteBuf body, long receivedAtMillis) {
        this(connection, channel, request, body, receivedAtMillis, false);
    }

    private CallerExchange(
            CallerConnection connection,
            Channel channel,
            HttpRequest request,
            ByteBuf body,
            long receivedAtMillis,
            boolean bodyMissing) {
        this.connection = connection;
        this.channel = channel;
        this.request = request;
        this.body = body;
        this.receivedAtMillis = receivedAtMillis;
        this.bodyMissing = bodyMissing;
    }

    /** Returns the exchange of a request whose body was dropped for want of memory: it can only be refused. */
    static CallerExchange withoutBody(
            CallerConnection connection, Channel channel, HttpRequest request, long receivedAtMillis) {
        return new CallerExchange(connection, channel, request, Unpooled.EMPTY_BUFFER, receivedAtMillis, true);
    }

    boolean isBodyMissing() {
        return bodyMissing;
    }

    /**
     * Returns the head of the request.
     *
     * @return the head
     */
    public HttpRequest request() {
        return request;
    }

    /**
     * Returns the body of the request; valid until the exchange ends.
     *
     * @return the body
     */
    public ByteBuf body() {
        return body;
    }

    /**
     * Returns when the request was received completely.
     *
     * @return the monotonic time, in milliseconds
     */
    public long receivedAtMillis() {
        return receivedAtMillis;
    }

    /**
     * Sets the listener for a disconnect of the caller before the response is complete.
     *
     * @param listener called at most once
     */
    public void setDisconnectListener(Runnable listener) {
        disconnectListener = listener;
    }

    /**
     * Sets for how long the caller may read nothing of a response before its connection is closed.
     *
     * @param millis the time, in milliseconds
     */
    public void setStallLimitMillis(long millis) {
        stallLimitMillis = millis;
    }

    long stallLimitMillis() {
        return stallLimitMillis;
    }

    /**
     * Sets the listener for the moment at which a slow caller can be sent more bytes.
     *
     * @param listener called each time the connection becomes writable again
     */
    public void setWritableListener(Runnable listener) {
        writableListener = listener;
    }

    /**
     * Returns whether more may be sent: the caller reads, or has less than the buffer of a slow caller to read.
     *
     * @return whether the connection is writable
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /**
     * Returns whether a streamed response is in progress.
     *
     * @return whether it was started and has not ended
     */
    public boolean isStreaming() {
        return state == State.STREAMING;
    }

    /**
     * Returns whether the exchange has ended, so that no more can be sent.
     *
     * @return whether the response is complete or was aborted, or the caller has disconnected
     */
    public boolean isEnded() {
        return state == State.ANSWERED || state == State.GONE;
    }

    /**
     * Sends a complete response; has no effect once a response was started or the exchange has ended.
     *
     * @param status the status
     * @param headers the headers, without hop-by-hop headers and the content length
     * @param content the body
     */
    public void respond(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
        if (state != State.OPEN) {
            return;
        }
        state = State.ANSWERED;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(content));
        response.headers().set(headers);
        connection.nameRequest(request, response.headers());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        boolean keepAlive = setConnectionHeader(response.headers());
        channel.writeAndFlush(response)
                .addListener(done -> connection.onExchangeEnded(this, keepAlive && done.isSuccess()));
        connection.onWritten();
    }

    /**
     * Starts a streamed response, whose head is sent together with the first part of its body; has no effect once a
     * response was started or the exchange has ended.
     *
     * @param status the status
     * @param headers the headers, without hop-by-hop headers and the content length
     */
    public void startStream(HttpResponseStatus status, HttpHeaders headers) {
        if (state != State.OPEN) {
            return;
        }
        state = State.STREAMING;
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(headers);
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(response.headers());
        channel.write(response);
    }

    /**
     * Sends a part of the body of a streamed response; has no effect while none is in progress.
     *
     * @param part the bytes
     */
    public void send(byte[] part) {
        if (state == State.STREAMING) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
            connection.onWritten();
        }
    }

    /** Ends a streamed response; has no effect while none is in progress. */
    public void endStream() {
        if (state != State.STREAMING) {
            return;
        }
        state = State.ANSWERED;
        boolean keepAlive = HttpUtil.isKeepAlive(request) && !connection.isDraining();
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(done -> connection.onExchangeEnded(this, keepAlive && done.isSuccess()));
    }

    /** Closes the connection, so that the caller can tell that the response is incomplete. */
    public void abort() {
        if (!isEnded()) {
            state = State.GONE;
            connection.onExchangeEnded(this, false);
        }
    }

    /** Sets the Connection header and returns whether the connection is kept open. */
    private boolean setConnectionHeader(HttpHeaders headers) {
        boolean keepAlive = HttpUtil.isKeepAlive(request) && !connection.isDraining();
        if (keepAlive) {
            headers.remove(HttpHeaderNames.CONNECTION);
        } else {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return keepAlive;
    }

    void onCallerDisconnected() {
        if (!isEnded()) {
            state = State.GONE;
            disconnectListener.run();
        }
    }

    void onChannelWritable() {
        writableListener.run();
    }
}
