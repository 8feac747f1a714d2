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

/** A caller's whole request and the way to answer it once; used on the event loop only. */
public final class CallerExchange {
    private final CallerConnection connection;
    private final Channel channel;
    private final HttpRequest request;
    private final ByteBuf body;
    private final long readAtMillis;
    private Runnable goneListener = () -> {};
    private Runnable writableListener = () -> {};
    private State state = State.OPEN;

    private enum State {
        OPEN,
        STREAMING,
        ANSWERED,
        GONE
    }

    CallerExchange(CallerConnection connection, Channel channel, HttpRequest request, ByteBuf body, long readAtMillis) {
        this.connection = connection;
        this.channel = channel;
        this.request = request;
        this.body = body;
        this.readAtMillis = readAtMillis;
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
     * Returns when the request was read whole.
     *
     * @return the steady time, in milliseconds
     */
    public long readAtMillis() {
        return readAtMillis;
    }

    /**
     * Sets what is to be done when the caller leaves before the answer is whole.
     *
     * @param listener called once at most
     */
    public void onGone(Runnable listener) {
        goneListener = listener;
    }

    /**
     * Sets what is to be done when a caller that read slowly takes bytes again.
     *
     * @param listener called each time
     */
    public void onWritable(Runnable listener) {
        writableListener = listener;
    }

    /**
     * Returns whether the caller reads as fast as it is sent to.
     *
     * @return whether it does
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /**
     * Returns whether the answer has begun.
     *
     * @return whether its head was sent
     */
    public boolean isStreaming() {
        return state == State.STREAMING;
    }

    /**
     * Returns whether nothing more is owed.
     *
     * @return whether the answer was sent or the caller is gone
     */
    public boolean isOver() {
        return state == State.ANSWERED || state == State.GONE;
    }

    /**
     * Sends a whole answer.
     *
     * @param status the status
     * @param headers the headers without those of the connection and the length
     * @param content the body
     */
    public void answer(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
        if (state != State.OPEN) {
            return;
        }
        state = State.ANSWERED;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(content));
        response.headers().set(headers);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        boolean keep = prepareConnection(response.headers());
        channel.writeAndFlush(response).addListener(done -> connection.onAnswered(this, keep && done.isSuccess()));
    }

    /**
     * Sends the head of an answer whose body follows in parts.
     *
     * @param status the status
     * @param headers the headers without those of the connection and the length
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
        prepareConnection(response.headers());
        channel.write(response);
    }

    /**
     * Sends a part of the body.
     *
     * @param part the bytes
     */
    public void send(byte[] part) {
        if (state == State.STREAMING) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
        }
    }

    /** Ends an answer that was sent in parts. */
    public void endStream() {
        if (state != State.STREAMING) {
            return;
        }
        state = State.ANSWERED;
        boolean keep = HttpUtil.isKeepAlive(request) && !connection.isDraining();
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(done -> connection.onAnswered(this, keep && done.isSuccess()));
    }

    /** Closes the connection, so that the caller sees that no whole answer comes. */
    public void breakOff() {
        if (!isOver()) {
            state = State.GONE;
            connection.onAnswered(this, false);
        }
    }

    private boolean prepareConnection(HttpHeaders headers) {
        boolean keep = HttpUtil.isKeepAlive(request) && !connection.isDraining();
        if (keep) {
            headers.remove(HttpHeaderNames.CONNECTION);
        } else {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return keep;
    }

    void callerGone() {
        if (!isOver()) {
            state = State.GONE;
            goneListener.run();
        }
    }

    void becameWritable() {
        writableListener.run();
    }
}
