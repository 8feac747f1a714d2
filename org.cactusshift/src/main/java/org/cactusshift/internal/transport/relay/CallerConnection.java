package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Optional;
import org.cactusshift.internal.coordination.limits.BufferLimit;
import org.cactusshift.internal.coordination.serving.CallerLimits;

/**
 * Handles one connection of a caller: assembles complete requests and passes them on one at a time.
 *
 * <p>The connection is read also while a request is being served, so that a disconnect of the caller is noticed at
 * once.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final byte[] STOPPING = "the node is stopping\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] OVER_MEMORY =
            "the node has no memory for the request\n".getBytes(StandardCharsets.US_ASCII);

    /** Maximum number of pipelined requests waiting behind the current one; a further one is rejected. */
    private static final int MAXIMUM_PIPELINED = 8;

    private final CallerServer server;
    private final ArrayDeque<CallerExchange> pipelined = new ArrayDeque<>();
    private Channel channel;
    private CallerExchange current;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    /** Null until the first part of the body of a request arrives. */
    private BufferLimit.Account upload;

    private CallerOutput output;

    /** The status of a rejected request, which is sent after the responses before it; null while none was rejected. */
    private HttpResponseStatus rejection;

    private boolean closing;
    private long idleSinceMillis;

    /** The time from which the header timeout runs: the first bytes of a head, later the last bytes of a body. */
    private long receiveTimeoutStartMillis;

    /** Whether a request has arrived in part. */
    private boolean receiving;

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    /** Returns whether the connection is to be closed after the current response. */
    boolean isDraining() {
        return server.isDraining() && pipelined.isEmpty();
    }

    /** Adds the id of a request to the headers of its response. */
    void nameRequest(HttpRequest request, HttpHeaders response) {
        server.naming().copyRequestId(request.headers(), response);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        idleSinceMillis = server.monotonicMillis();
        BufferLimit.Account account = server.memory().responses().open(idleSinceMillis, () -> endSlowReader("memory"));
        output = new CallerOutput(channel, account, idleSinceMillis);
    }

    /** Starts the header timeout with the first bytes of a request, so that a slowly sent head does not extend it. */
    void onBytes() {
        if (!receiving && current == null) {
            receiving = true;
            receiveTimeoutStartMillis = server.monotonicMillis();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (isReading() && message instanceof HttpRequest request) {
                onHead(request);
            }
            if (isReading() && message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private boolean isReading() {
        return !closing && rejection == null;
    }

    private void onHead(HttpRequest request) {
        receiving = true;
        receiveTimeoutStartMillis = server.monotonicMillis();
        Optional<RequestValidity.Fault> fault =
                RequestValidity.faultOfHead(request, server.limits().maximumBodyBytes());
        if (fault.isPresent()) {
            reject(fault.get().status(), fault.get().reason());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            request.headers().remove(HttpHeaderNames.EXPECT);
        }
        head = request;
        body = Unpooled.EMPTY_BUFFER;
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST, "the body is malformed");
            return;
        }
        ByteBuf bytes = content.content();
        if (body.readableBytes() + bytes.readableBytes() > server.limits().maximumBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        if (bytes.isReadable()) {
            receiveTimeoutStartMillis = server.monotonicMillis();
            addToBody(bytes);
            if (!isReading()) {
                return;
            }
        }
        if (content instanceof LastHttpContent) {
            onRequestComplete();
        }
    }

    private void onRequestComplete() {
        closeUpload();
        receiving = false;
        if (current == null) {
            start(takeRequest());
        } else if (pipelined.size() < MAXIMUM_PIPELINED) {
            pipelined.addLast(takeRequest());
        } else {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many requests wait on the connection");
        }
    }

    /** Returns the request that has arrived; its memory is held until {@link #releaseRequest}. */
    private CallerExchange takeRequest() {
        boolean fits = server.memory().requests().take(body.capacity());
        long nowMillis = server.monotonicMillis();
        CallerExchange exchange = fits
                ? new CallerExchange(this, channel, head, body, nowMillis)
                : CallerExchange.withoutBody(this, channel, head, nowMillis);
        // An idle connection must not keep the body of its last request.
        head = null;
        body = Unpooled.EMPTY_BUFFER;
        return exchange;
    }

    private void releaseRequest(CallerExchange exchange) {
        server.memory().requests().release(exchange.body().capacity());
    }

    /** Adds a part; the buffer grows with what arrives, since a caller may state a length that it never sends. */
    private void addToBody(ByteBuf bytes) {
        if (body == Unpooled.EMPTY_BUFFER) {
            long maximumBytes = HttpUtil.getContentLength(head, (long) Integer.MAX_VALUE);
            body = Unpooled.buffer(bytes.readableBytes(), (int) Math.max(maximumBytes, bytes.readableBytes()));
            upload = server.memory().uploads().open(receiveTimeoutStartMillis, this::endSlowUpload);
        }
        body.writeBytes(bytes);
        upload.hold(body.capacity(), receiveTimeoutStartMillis);
    }

    private void closeUpload() {
        if (upload != null) {
            upload.close();
            upload = null;
        }
    }

    /** Ends an upload because of the node's limit; the request was not run, so another node may take it at once. */
    private void endSlowUpload() {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "incomplete requests take too much memory");
    }

    /** Closes the connection of a caller that doesn't read its response, which then has no end. */
    private void endSlowReader(String reason) {
        server.logSlowReader(String.valueOf(channel.remoteAddress()), reason, output.pendingBytes());
        closeNow();
    }

    /** Records what the caller has not read yet; called after each write. */
    void onWritten() {
        output.update(server.monotonicMillis());
    }

    private void start(CallerExchange exchange) {
        current = exchange;
        server.onRequestStarted();
        if (server.refusesRequests()) {
            // No time to retry after: another node takes the request at once.
            exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, new DefaultHttpHeaders(), STOPPING);
            return;
        }
        if (exchange.isBodyMissing()) {
            server.logOverMemory(String.valueOf(channel.remoteAddress()));
            exchange.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, new DefaultHttpHeaders(), OVER_MEMORY);
            return;
        }
        server.handler().onRequest(exchange);
    }

    /**
     * Rejects a request that is malformed, too large, too slow or one too many; no part of it was sent to an upstream.
     * The requests before it keep their responses; nothing that follows it is read.
     */
    private void reject(HttpResponseStatus status, String reason) {
        closeUpload();
        body = Unpooled.EMPTY_BUFFER;
        server.logRejected(status.code(), reason, String.valueOf(channel.remoteAddress()));
        rejection = status;
        if (current == null) {
            sendRejection();
        }
    }

    private void sendRejection() {
        closing = true;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, rejection);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    void onExchangeEnded(CallerExchange exchange, boolean keepAlive) {
        if (exchange != current) {
            return;
        }
        current = null;
        releaseRequest(exchange);
        server.onRequestEnded();
        idleSinceMillis = server.monotonicMillis();
        if (!keepAlive) {
            closeNow();
        } else if (!pipelined.isEmpty()) {
            start(pipelined.removeFirst());
        } else if (rejection != null) {
            sendRejection();
        }
    }

    private void closeNow() {
        closing = true;
        channel.close();
    }

    /** Closes the connection if its caller is too slow to read or to send a request, or idle for too long. */
    void closeExpired(long nowMillis, CallerLimits limits) {
        if (closing) {
            return;
        }
        output.update(nowMillis);
        if (current != null) {
            if (output.stalledMillis(nowMillis) > current.stallLimitMillis()) {
                endSlowReader("stalled");
            }
            return;
        }
        if (receiving) {
            if (nowMillis - receiveTimeoutStartMillis > limits.headerTimeoutMillis()) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request arrives too slowly");
            }
        } else if (nowMillis - idleSinceMillis > limits.idleTimeoutMillis()) {
            closeNow();
        }
    }

    /** Closes the connection if no request has been served or received for at least {@code idleMillis}. */
    void closeIfIdle(long nowMillis, long idleMillis) {
        if (current == null && !receiving && nowMillis - idleSinceMillis >= idleMillis) {
            closeNow();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        onWritten();
        if (channel.isWritable() && current != null) {
            current.onChannelWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        server.logFailed(String.valueOf(channel.remoteAddress()), String.valueOf(cause), current != null);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        server.onClosed(this);
        output.close();
        closeUpload();
        if (current != null) {
            CallerExchange interrupted = current;
            current = null;
            releaseRequest(interrupted);
            server.onRequestEnded();
            interrupted.onCallerDisconnected();
        }
        pipelined.forEach(this::releaseRequest);
        pipelined.clear();
    }
}
