package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * An HTTP/1.1 client connection to an upstream or to a service of the platform; carries one exchange at a time.
 *
 * <p>A connection is reused only after a clean exchange: the request was written completely, the response was complete
 * and framed, and no further bytes arrived.
 */
public final class HttpClientConnection extends ChannelInboundHandlerAdapter implements ResponseDecoder.Exchanges {
    /** More responses to other requests than an upstream repeats before the own one; it may never end. */
    private static final int MAXIMUM_SKIPPED_RESPONSES = 16;

    /** More interim responses than any service sends before the final one; an upstream in trouble may never end. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 16;

    private static final String STATUS_LINE_START = "HTTP/1.";

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( |$)");

    private final HttpConnectionPool pool;
    private final String address;
    private Channel channel;
    private ResponseDecoder decoder;

    /** Receives the response of the open exchange; null while there is none. */
    private HttpResponseListener listener;

    /** The proof of the open or the last exchange; null before the first one. */
    private ResponseProof proof;

    private long sentAtMillis;
    private HttpMethod method = HttpMethod.GET;
    private int interimResponses;
    private int skippedResponses;
    private int mismatches;
    private boolean inResponse;
    private boolean skippingResponse;
    private boolean keepAlive;
    private boolean requestWritten;

    /** Whether responses no longer match the requests, so that the connection must not be reused. */
    private boolean outOfSync;

    private boolean delimitedByClose;
    private boolean singleExchange;
    private boolean closed;
    private long openedAtMillis;
    private long idleSinceMillis;
    private long idleLimitMillis = Long.MAX_VALUE;

    HttpClientConnection(HttpConnectionPool pool, String address) {
        this.pool = pool;
        this.address = address;
    }

    /** Returns the handlers of a channel for the connection, in their order. */
    ChannelHandler[] handlers(HttpDecoderConfig config) {
        decoder = new ResponseDecoder(config, this);
        return new ChannelHandler[] {new RequestEncoder(), decoder, this};
    }

    @Override
    public boolean isOpen() {
        return listener != null;
    }

    @Override
    public boolean haveNoBody() {
        return method.equals(HttpMethod.HEAD);
    }

    @Override
    public void onUnsolicitedBytes() {
        if (!closed) {
            onMismatch(ResponseMismatch.Kind.UNSOLICITED, 0);
            fail("bytes without a request");
        }
    }

    String address() {
        return address;
    }

    void setOpenedAtMillis(long nowMillis) {
        openedAtMillis = nowMillis;
    }

    long openedAtMillis() {
        return openedAtMillis;
    }

    void setIdleSinceMillis(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    /**
     * Sets the time after which the remote side closes an idle connection.
     *
     * @param millis the idle timeout, in milliseconds
     */
    public void setIdleLimitMillis(long millis) {
        idleLimitMillis = millis;
    }

    /** Returns whether the connection is open and more than a margin is left of the remote idle timeout. */
    boolean isUsable(long nowMillis, long marginMillis) {
        return channel.isActive() && nowMillis - idleSinceMillis < idleLimitMillis - marginMillis;
    }

    /** Makes the connection end with its first exchange. */
    void limitToSingleExchange() {
        singleExchange = true;
    }

    boolean isLimitedToSingleExchange() {
        return singleExchange;
    }

    boolean isConnected() {
        return channel.isActive();
    }

    boolean hasBeenIdleFor(long nowMillis, long idleMillis) {
        return nowMillis - idleSinceMillis >= idleMillis;
    }

    /**
     * Sends a request.
     *
     * @param newMethod the method
     * @param target the request target
     * @param headers the headers; modified: transfer encoding and content length are replaced
     * @param body the body; not released here
     * @param newProof what shows that a response answers this request
     * @param newListener receives the response
     */
    public void send(
            HttpMethod newMethod,
            String target,
            HttpHeaders headers,
            ByteBuf body,
            ResponseProof newProof,
            HttpResponseListener newListener) {
        listener = newListener;
        proof = newProof;
        method = newMethod;
        sentAtMillis = pool.nowMillis();
        interimResponses = 0;
        skippedResponses = 0;
        inResponse = false;
        skippingResponse = false;
        requestWritten = false;
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (body.isReadable() || !newMethod.equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, newMethod, target, body.retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
        channel.writeAndFlush(request).addListener(written -> requestWritten = written.isSuccess());
    }

    /** Abandons the exchange and closes the connection; the listener is not called any more. */
    public void abandon() {
        listener = null;
        closed = true;
        channel.close();
    }

    /**
     * Pauses or resumes reading, to apply back-pressure for a caller that reads slowly.
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

    /** Returns whether the last response had neither a length nor chunks, so that it ended with the connection. */
    boolean isDelimitedByClose() {
        return delimitedByClose;
    }

    private void onHead(HttpResponse response) {
        Optional<String> fault = ResponseValidity.faultOfHead(response);
        if (fault.isPresent()) {
            fail(fault.get());
            return;
        }
        if (ResponseValidity.isInterim(response)) {
            skippingResponse = true;
            interimResponses++;
            if (interimResponses > MAXIMUM_INTERIM_RESPONSES) {
                fail("more than " + MAXIMUM_INTERIM_RESPONSES + " interim responses");
            }
            return;
        }
        if (listener == null || inResponse) {
            onUnsolicitedBytes();
            return;
        }
        if (isSpliced(response)) {
            onMismatch(ResponseMismatch.Kind.SPLICED, response.status().code());
            fail("the head is made of two");
            return;
        }
        ResponseProof.Result result = proof.check(response);
        if (result != ResponseProof.Result.MATCH) {
            onMismatch(ResponseMismatch.Kind.of(result), response.status().code());
            skipOrFail(response, result);
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(response);
        delimitedByClose = ResponseValidity.isDelimitedByClose(response, haveNoBody());
        skippingResponse = false;
        inResponse = true;
        listener.onHead(response);
    }

    /** Returns whether a head goes on after the beginning of another one, so that parts of it are of both. */
    private static boolean isSpliced(HttpResponse response) {
        return containsStatusLine(response.status().reasonPhrase())
                || response.headers().entries().stream().anyMatch(header -> containsStatusLine(header.getValue()));
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(STATUS_LINE_START) && STATUS_LINE.matcher(text).find();
    }

    /** Leaves out a response that answers no request; no further exchange can be trusted on this connection. */
    private void skipOrFail(HttpResponse response, ResponseProof.Result result) {
        outOfSync = true;
        skippedResponses++;
        // Nothing follows a response that ends with its connection, and none has a body while HEAD waits.
        boolean canBeSkipped =
                proof.skipsMismatches() && !haveNoBody() && !ResponseValidity.isDelimitedByClose(response, false);
        if (!canBeSkipped || skippedResponses > MAXIMUM_SKIPPED_RESPONSES) {
            fail("the answer is to another request: " + result);
            return;
        }
        skippingResponse = true;
    }

    private void onMismatch(ResponseMismatch.Kind kind, int status) {
        mismatches++;
        long nowMillis = pool.nowMillis();
        pool.onMismatch(new ResponseMismatch(
                kind,
                address,
                proof == null ? "-" : proof.request(),
                status,
                nowMillis - sentAtMillis,
                nowMillis - openedAtMillis,
                mismatches == 1));
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail("the body is malformed");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skippingResponse) {
            skippingResponse = !last;
            return;
        }
        if (!inResponse || listener == null) {
            return;
        }
        if (content.content().isReadable()) {
            listener.onContent(content.content());
        }
        if (last && inResponse && listener != null) {
            ResponseValidity.faultOfEnd(delimitedByClose, requestWritten).ifPresentOrElse(this::fail, this::complete);
        }
    }

    private void complete() {
        HttpResponseListener completed = listener;
        listener = null;
        inResponse = false;
        if (decoder.hasUndecodedBytes()) {
            onMismatch(ResponseMismatch.Kind.UNSOLICITED, 0);
            outOfSync = true;
        }
        boolean reusable = keepAlive
                && requestWritten
                && !singleExchange
                && !outOfSync
                && !delimitedByClose
                && !closed
                && channel.isActive();
        if (reusable) {
            // The exchange may have ended while its reading was paused.
            setReading(true);
            pool.release(this);
        } else {
            channel.close();
        }
        completed.onComplete();
    }

    /** Closes the connection and reports the failure of an open exchange to its listener. */
    private void fail(String reason) {
        closed = true;
        HttpResponseListener failedListener = listener;
        listener = null;
        pool.remove(this);
        channel.close();
        if (failedListener != null) {
            failedListener.onFailure(reason);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the upstream closed the connection");
    }

    /** Closes an idle connection, which has no listener. */
    void close() {
        closed = true;
        channel.close();
    }
}
