package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to an upstream; carries one exchange at a time.
 *
 * <p>A connection is used again only after an exchange that left nothing behind: the request was written whole, the
 * answer was whole and framed, and no other bytes came.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private final UpstreamConnectionPool pool;
    private final String address;
    private Channel channel;
    private UpstreamResponseListener listener;
    private boolean inAnswer;
    private boolean skipping;
    private boolean keepAlive;
    private boolean requestWritten;
    private boolean strayBytes;
    private boolean unframed;
    private boolean failed;
    private long idleSinceMillis;
    private long idleLimitMillis = Long.MAX_VALUE;

    UpstreamConnection(UpstreamConnectionPool pool, String address) {
        this.pool = pool;
        this.address = address;
    }

    String address() {
        return address;
    }

    void setIdleSinceMillis(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    /**
     * Takes the time after which the upstream closes an idle connection.
     *
     * @param millis the time
     */
    public void setIdleLimitMillis(long millis) {
        idleLimitMillis = millis;
    }

    boolean isUsable(long nowMillis, long marginMillis) {
        return channel.isActive() && nowMillis - idleSinceMillis < idleLimitMillis - marginMillis;
    }

    boolean isIdleFor(long nowMillis, long millis) {
        return nowMillis - idleSinceMillis >= millis;
    }

    /**
     * Sends a request.
     *
     * @param method the method
     * @param target the request target
     * @param headers the headers; the length of the body is set here
     * @param body the body; not released here
     * @param newListener receives the answer
     */
    public void send(
            HttpMethod method, String target, HttpHeaders headers, ByteBuf body, UpstreamResponseListener newListener) {
        listener = newListener;
        inAnswer = false;
        skipping = false;
        requestWritten = false;
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (body.isReadable() || !method.equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, target, body.retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
        channel.writeAndFlush(request).addListener(written -> requestWritten = written.isSuccess());
    }

    /** Gives up the exchange and closes the connection; the listener hears nothing more. */
    public void abandon() {
        listener = null;
        failed = true;
        channel.close();
    }

    /**
     * Pauses or resumes reading, for a caller that reads slowly.
     *
     * @param reading whether to read
     */
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpResponse response) {
                onHead(response);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            breakOff(
                    "the answer is no HTTP: " + response.decoderResult().cause().getMessage());
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true;
            return;
        }
        if (listener == null || inAnswer) {
            strayBytes = true;
            breakOff("bytes without a request");
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(response);
        unframed = !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
        skipping = !listener.onHead(response);
        inAnswer = !skipping;
        // An answer to some other request came here; what follows cannot be trusted for a further exchange.
        strayBytes |= skipping;
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            breakOff("the body is malformed");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (!inAnswer || listener == null) {
            return;
        }
        if (content.content().isReadable()) {
            listener.onContent(content.content());
        }
        if (last && inAnswer && listener != null) {
            complete();
        }
    }

    private void complete() {
        UpstreamResponseListener done = listener;
        listener = null;
        inAnswer = false;
        boolean reusable = keepAlive && requestWritten && !strayBytes && !unframed && !failed && channel.isActive();
        if (reusable) {
            pool.giveBack(this);
        } else {
            channel.close();
        }
        done.onComplete();
    }

    private void breakOff(String reason) {
        failed = true;
        UpstreamResponseListener broken = listener;
        listener = null;
        pool.forget(this);
        channel.close();
        if (broken != null) {
            broken.onBroken(reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        breakOff(String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        breakOff("the upstream closed the connection");
    }

    /** Closes an idle connection. */
    void close() {
        failed = true;
        channel.close();
    }
}
