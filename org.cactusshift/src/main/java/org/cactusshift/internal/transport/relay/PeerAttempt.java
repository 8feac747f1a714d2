package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.ResponseBufferLimit;
import org.cactusshift.internal.coordination.serving.PeerEndpoint;
import org.cactusshift.internal.coordination.serving.RequestKind;
import org.cactusshift.internal.protocol.stream.SseEventSplitter;

/**
 * One attempt to have a request served by a peer, because this node reaches no upstream. The peer places it, counts its
 * usage and sends its retries; this node passes on the response.
 */
final class PeerAttempt implements HttpResponseListener {
    private final PeerPass pass;
    private final RelayedRequest relayedRequest;
    private final PeerEndpoint peer;
    private final PassedRequest passed;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private final SseEventSplitter events = SseEventSplitter.create(UpstreamAttempt.MAXIMUM_EVENT_BYTES);
    private final ResponseBufferLimit.Account buffered;

    /** Null until the request is sent. */
    private HttpClientConnection connection;

    /** Null, like the headers and the metadata, until the head of the response arrives. */
    private HttpResponseStatus status;

    private HttpHeaders headers;
    private ResponseMetadata metadata;
    private boolean ended;

    /** How a peer answered a request. */
    enum Result {
        /** The peer was not reached, or refused at once without having sent the request: another peer may take it. */
        NOT_TAKEN,
        /** The peer refuses the request, which was not run. */
        REFUSED,
        /** The response of an upstream, or of the peer about a request that may have been run. */
        ANSWERED,
        /** The peer was lost after the request was sent to it, so that it may have been run. */
        LOST
    }

    PeerAttempt(PeerPass pass, RelayedRequest relayedRequest, PeerEndpoint peer, PassedRequest passed) {
        this.pass = pass;
        this.relayedRequest = relayedRequest;
        this.peer = peer;
        this.passed = passed;
        this.buffered = relayedRequest.context().responseBuffers().open();
    }

    /** Returns whether the request was sent, so that it may have been run. */
    boolean mayHaveRun() {
        return connection != null;
    }

    private RelayContext context() {
        return relayedRequest.context();
    }

    /** Acquires a connection and sends the request on it; the relayed request is told of the outcome. */
    void start() {
        context().peers().onPassed(peer);
        boolean nonRepeatable = passed.route().kind() == RequestKind.NOT_REPEATABLE;
        long maximumIdleMillis =
                nonRepeatable ? UpstreamAttempt.MAXIMUM_IDLE_FOR_NON_REPEATABLE_MILLIS : Long.MAX_VALUE;
        context().pool().acquire(peer.address(), maximumIdleMillis, this::onConnection);
    }

    private void onConnection(Either<Failure, HttpClientConnection> acquired) {
        if (ended) {
            acquired.forEach(context().pool()::release);
            return;
        }
        if (acquired.isLeft()) {
            end(Result.NOT_TAKEN, acquired.getLeft().message());
            return;
        }
        connection = acquired.get();
        CallerExchange exchange = relayedRequest.exchange();
        HttpHeaders requestHeaders = ForwardedHeaders.ofRequest(
                exchange.request().headers(), context().codec());
        passed.writeTo(requestHeaders, peer.token());
        connection.send(
                exchange.request().method(),
                exchange.request().uri(),
                requestHeaders,
                exchange.body(),
                ResponseProof.ofPeer(context().codec(), relayedRequest.request().id()),
                this);
        context()
                .log()
                .event("request.passed")
                .with("request", relayedRequest.request().id().value())
                .with("peer", peer.node().value())
                .with("remainingMillis", passed.remainingMillis())
                .write();
    }

    @Override
    public void onHead(HttpResponse response) {
        metadata = context().codec().readResponse(response);
        status = response.status();
        headers = ForwardedHeaders.ofResponse(response.headers(), context().codec());
        Optional<UpstreamId> upstream = PassedRequest.removeUpstream(headers);
        if (metadata.leaving()) {
            // This node passes on that the upstream leaves, so it is bound by that too.
            upstream.ifPresent(context().upstreamLeavingListener());
        }
    }

    private boolean isStream() {
        return metadata.signed()
                && passed.route().kind() == RequestKind.STREAM
                && EventStreamResponse.mayHoldEvents(status, headers);
    }

    @Override
    public void onContent(ByteBuf bytes) {
        if (!isStream()) {
            if (content.size() + bytes.readableBytes() > UpstreamAttempt.MAXIMUM_RESPONSE_BYTES) {
                connection.abandon();
                onFailure("the answer is longer than " + UpstreamAttempt.MAXIMUM_RESPONSE_BYTES + " bytes");
                return;
            }
            content.writeBytes(ByteBufUtil.getBytes(bytes));
            holdBuffered(content.size());
            return;
        }
        List<SseEventSplitter.Event> completeEvents;
        try {
            completeEvents = events.append(bytes);
        } catch (IllegalArgumentException e) {
            connection.abandon();
            onFailure(e.getMessage());
            return;
        }
        CallerExchange exchange = relayedRequest.exchange();
        for (SseEventSplitter.Event event : completeEvents) {
            exchange.startStream(status, headers);
            exchange.send(event.bytes());
        }
        if (!holdBuffered(events.partialBytes())) {
            return;
        }
        if (!exchange.isWritable()) {
            connection.setReading(false);
            exchange.setWritableListener(() -> {
                if (!ended) {
                    connection.setReading(true);
                }
            });
        }
    }

    /** Ends the attempt if the response holds too much; returns whether it may go on. */
    private boolean holdBuffered(long bytes) {
        boolean mayGoOn = buffered.hold(bytes);
        if (!mayGoOn) {
            connection.abandon();
            onFailure(UpstreamAttempt.TOO_MUCH_BUFFERED);
        }
        return mayGoOn;
    }

    @Override
    public void onComplete() {
        boolean unavailable = status.code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
        boolean unknown = status.code() == HttpResponseStatus.BAD_GATEWAY.code()
                || status.code() == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        if (isStream() && events.hasPartialEvent()) {
            onFailure("the stream ended inside an event");
        } else if (metadata.signed() || unknown) {
            end(Result.ANSWERED, "status " + status.code());
        } else if (unavailable && headers.contains(HttpHeaderNames.RETRY_AFTER)) {
            end(Result.REFUSED, "status " + status.code());
        } else {
            end(Result.NOT_TAKEN, "status " + status.code());
        }
    }

    @Override
    public void onFailure(String reason) {
        if (!ended) {
            end(Result.LOST, reason);
        }
    }

    /** Passes on the complete response. */
    void respond() {
        CallerExchange exchange = relayedRequest.exchange();
        if (isStream()) {
            // A stream without events has not been started yet; otherwise this has no effect.
            exchange.startStream(status, headers);
            exchange.endStream();
        } else {
            exchange.respond(status, headers, content.toByteArray());
        }
    }

    /** Abandons the attempt and closes its connection, on which the peer cancels the request. */
    void abandon() {
        if (ended) {
            return;
        }
        ended = true;
        buffered.close();
        context().peers().onEnded(peer);
        if (connection != null) {
            connection.abandon();
        }
    }

    private void end(Result result, String reason) {
        ended = true;
        buffered.close();
        context().peers().onEnded(peer);
        // A response that the peer breaks off is that of an upstream which was lost there.
        boolean isPeerLost = result == Result.LOST && status == null;
        if (result == Result.NOT_TAKEN || isPeerLost) {
            context().peers().onNotTaken(peer);
        } else {
            context().peers().onTaken(peer);
        }
        context().metrics().onAttemptEnded(passed.service().value(), "peer-" + result);
        context()
                .log()
                .event("request.passEnded")
                .with("request", relayedRequest.request().id().value())
                .with("peer", peer.node().value())
                .with("result", result)
                .with("reason", reason)
                .write();
        pass.onEnded(this, result, reason);
    }
}
