package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.Placement;
import org.cactusshift.internal.coordination.serving.PromptPart;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.cactusshift.internal.coordination.serving.RequestKind;
import org.cactusshift.internal.coordination.serving.ServingRequest;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.protocol.stream.SseEventSplitter;

/** One attempt: one send of a request to one upstream, either for the prefill only or to run the request. */
final class UpstreamAttempt implements HttpResponseListener {
    /**
     * The maximum idle time of a connection that a non-repeatable request may use. Connections that were used recently
     * are least likely to be stale.
     */
    private static final long MAXIMUM_IDLE_FOR_NON_REPEATABLE_MILLIS = 2_000;

    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1_024 * 1_024;
    private static final int MAXIMUM_EVENT_BYTES = 1_024 * 1_024;

    /**
     * Minimum time without progress after which an upstream is abandoned where a retry is allowed; several times the
     * expected time to the first answer applies if that is longer.
     */
    private static final long MINIMUM_PROGRESS_TIMEOUT_MILLIS = 700;

    private static final int EXPECTED_TIME_FACTOR = 3;

    /**
     * A stream without an event for this many times its target event gap is resumed at another upstream where that is
     * allowed.
     */
    private static final int TARGET_GAP_FACTOR = 3;

    private final RelayedRequest owner;
    private final Placement placement;
    private final boolean isPrefill;
    private final Optional<String> kvSource;
    private final Upstream upstream;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private final SseEventSplitter events = SseEventSplitter.create(MAXIMUM_EVENT_BYTES);
    private HttpClientConnection connection;
    private ScheduledFuture<?> watchdog;
    private HttpResponseStatus status;
    private HttpHeaders headers;
    private ResponseMetadata metadata;
    private boolean isStreaming;
    private boolean hasFirstAnswer;
    private boolean closed;
    private long sentAtMillis;
    private long tokensAhead;
    private long lastProgressMillis;

    private UpstreamAttempt(RelayedRequest owner, Placement placement, boolean isPrefill, Optional<String> kvSource) {
        this.owner = owner;
        this.placement = placement;
        this.isPrefill = isPrefill;
        this.kvSource = kvSource;
        this.upstream = isPrefill ? placement.prefillEngine().orElseThrow() : placement.target();
    }

    static UpstreamAttempt prefill(RelayedRequest owner, Placement placement) {
        return new UpstreamAttempt(owner, placement, true, Optional.empty());
    }

    static UpstreamAttempt run(RelayedRequest owner, Placement placement, Optional<String> kvSource) {
        return new UpstreamAttempt(owner, placement, false, kvSource);
    }

    Placement placement() {
        return placement;
    }

    Upstream upstream() {
        return upstream;
    }

    boolean isPrefill() {
        return isPrefill;
    }

    Optional<String> kvSource() {
        return kvSource;
    }

    boolean wasSent() {
        return connection != null;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    private RelayContext context() {
        return owner.context();
    }

    private long nowMillis() {
        return context().clock().monotonicMillis();
    }

    private ServingRequest request() {
        return owner.request();
    }

    void open() {
        boolean nonRepeatable = request().route().kind() == RequestKind.NOT_REPEATABLE;
        long maximumIdleMillis = nonRepeatable ? MAXIMUM_IDLE_FOR_NON_REPEATABLE_MILLIS : Long.MAX_VALUE;
        tokensAhead = upstream.totalPendingPrefillTokens() + uncachedTokens();
        upstream.onSent(uncachedTokens(), nowMillis());
        context().pool().acquire(upstream.entry().address(), maximumIdleMillis, this::onConnection);
    }

    private long uncachedTokens() {
        return kvSource.isPresent() ? 0 : placement.uncachedTokens();
    }

    private void onConnection(Either<Failure, HttpClientConnection> acquired) {
        if (closed) {
            acquired.forEach(context().pool()::release);
            return;
        }
        if (acquired.isLeft()) {
            close("not-reached", acquired.getLeft().message());
            upstream.onUnreachable(nowMillis(), context().random());
            context().crashDetector().onUpstreamDown(upstream.id(), nowMillis());
            releaseRetainedKv();
            owner.onNotExecuted(this);
            return;
        }
        if (upstream.isLeaving()) {
            // The upstream started to leave while the prefill ran elsewhere or the connection was being opened.
            context().pool().release(acquired.get());
            close("left", "the upstream is leaving");
            releaseRetainedKv();
            owner.onNotExecuted(this);
            return;
        }
        connection = acquired.get();
        sentAtMillis = nowMillis();
        lastProgressMillis = sentAtMillis;
        owner.onSending(this);
        HttpHeaders requestHeaders =
                HopByHopHeaderFilter.without(owner.exchange().request().headers());
        context().codec().writeDirectives(requestHeaders, owner.directives(this));
        connection.send(
                owner.exchange().request().method(),
                owner.exchange().request().uri(),
                requestHeaders,
                owner.exchange().body(),
                this);
        long expectedMillis = isPrefill ? placement.prefillMillis() : placement.firstResponseMillis();
        scheduleProgressCheck(Math.max(MINIMUM_PROGRESS_TIMEOUT_MILLIS, EXPECTED_TIME_FACTOR * expectedMillis));
        context()
                .log()
                .event("attempt.sent")
                .with("request", request().id().value())
                .with("upstream", upstream.id().value())
                .with("reading", isPrefill)
                .with("freshTokens", uncachedTokens())
                .with(
                        "fetchFrom",
                        placement.fetchFrom().map(from -> from.id().value()).orElse("-"))
                .with("openThere", upstream.openRequests())
                .with("expectedMillis", expectedMillis)
                .write();
    }

    private void scheduleProgressCheck(long millis) {
        watchdog = context().eventLoop().schedule(() -> checkProgress(millis), millis, TimeUnit.MILLISECONDS);
    }

    private void checkProgress(long millis) {
        if (closed) {
            return;
        }
        // A request that is queued at an upstream that makes progress with other requests is not abandoned.
        long stalledMillis = Math.min(nowMillis() - lastProgressMillis, upstream.millisSinceProgress(nowMillis()));
        if (hasFirstAnswer) {
            stalledMillis = nowMillis() - lastProgressMillis;
        }
        if (stalledMillis < millis) {
            scheduleProgressCheck(millis - stalledMillis);
        } else if (owner.hasAlternative(this)) {
            upstream.onFailedResponse();
            abandon("silent");
            owner.onAttemptLost(this, "the upstream was silent for " + stalledMillis + " ms");
        }
    }

    @Override
    public boolean onHead(HttpResponse response) {
        ResponseMetadata read = context().codec().readResponse(response);
        if (read.requestId().isPresent()
                && !read.requestId().get().equals(request().id().value())) {
            context()
                    .log()
                    .event("attempt.strayAnswer")
                    .with("request", request().id().value())
                    .with("upstream", upstream.id().value())
                    .with("answers", read.requestId().get())
                    .write();
            return false;
        }
        metadata = read;
        status = response.status();
        headers = HopByHopHeaderFilter.without(response.headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        isStreaming = !isPrefill
                && status.codeClass() == HttpStatusClass.SUCCESS
                && request().route().kind() == RequestKind.STREAM;
        lastProgressMillis = nowMillis();
        metadata.load().ifPresent(load -> upstream.onLoad(load.running(), load.waiting(), nowMillis()));
        metadata.idleTimeoutMillis().ifPresent(connection::setIdleLimitMillis);
        if (!isStreaming) {
            recordFirstAnswer();
        }
        return true;
    }

    private void recordFirstAnswer() {
        if (hasFirstAnswer) {
            return;
        }
        hasFirstAnswer = true;
        long tookMillis = nowMillis() - sentAtMillis;
        upstream.onFirstResponsePart(uncachedTokens(), nowMillis());
        if (metadata != null && !metadata.notExecuted()) {
            recordPrefill();
            double usualMillis =
                    context().latencyEstimator().firstResponseMillis(request().service(), stage(), tokensAhead);
            upstream.onRelativeLatency(tookMillis / Math.max(1, usualMillis));
            context()
                    .latencyEstimator()
                    .onFirstResponsePart(request().service(), stage(), tokensAhead, uncachedTokens(), tookMillis);
        }
    }

    private void recordPrefill() {
        if (request().prompt().isEmpty()) {
            return;
        }
        upstream.onPrefilled(request().prompt(), context().nodeCount().getAsInt());
        for (PromptPart part : request().prompt()) {
            if (PromptPartUse.isAdvertised(part)) {
                context().partUseListener().accept(new PromptPartUse(upstream.id(), part));
            }
        }
    }

    private EngineStage stage() {
        if (isPrefill) {
            return EngineStage.PREFILL;
        }
        // The decode after a prefill elsewhere has a latency of its own.
        boolean prefillsHere = !request().prompt().isEmpty() && kvSource.isEmpty();
        return prefillsHere ? upstream.prefillStage() : EngineStage.ANY;
    }

    @Override
    public void onContent(ByteBuf bytes) {
        lastProgressMillis = nowMillis();
        upstream.onProgress(lastProgressMillis);
        if (!isStreaming) {
            addContent(bytes);
            return;
        }
        List<SseEventSplitter.Event> completeEvents;
        try {
            completeEvents = events.append(bytes);
        } catch (IllegalArgumentException e) {
            fail(e.getMessage());
            return;
        }
        if (completeEvents.isEmpty() || !metadata.signed()) {
            return;
        }
        if (!hasFirstAnswer) {
            recordFirstAnswer();
            watchEventGaps();
        }
        completeEvents.forEach(event -> owner.onEvent(status, headers, event));
        if (!owner.exchange().isWritable()) {
            connection.setReading(false);
            owner.exchange().setWritableListener(() -> connection.setReading(true));
        }
    }

    private void watchEventGaps() {
        watchdog.cancel(false);
        long gapMillis = request().route().targetEventGapMillis();
        scheduleProgressCheck(Math.max(MINIMUM_PROGRESS_TIMEOUT_MILLIS, TARGET_GAP_FACTOR * gapMillis));
    }

    private void addContent(ByteBuf bytes) {
        if (content.size() + bytes.readableBytes() > MAXIMUM_RESPONSE_BYTES) {
            fail("the answer is longer than " + MAXIMUM_RESPONSE_BYTES + " bytes");
            return;
        }
        content.writeBytes(ByteBufUtil.getBytes(bytes));
    }

    private void fail(String reason) {
        connection.abandon();
        onFailure(reason);
    }

    @Override
    public void onComplete() {
        if (metadata.notExecuted()) {
            onNotExecuted();
        } else if (isPrefill) {
            onPrefilled();
        } else if (!metadata.signed()) {
            onFailure("the answer carries no signature");
        } else if (!isStreaming) {
            close("answered", "status " + status.code());
            recordResult(status.code() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
            owner.onResponse(this, new BufferedResponse(status, headers, content.toByteArray()));
        } else if (events.hasPartialEvent()) {
            onFailure("the stream ended inside an event");
        } else {
            close("answered", "stream complete");
            recordResult(true);
            owner.onStreamEnd(status, headers);
        }
    }

    private void recordResult(boolean isSuccess) {
        if (isSuccess) {
            upstream.onSuccess(sentAtMillis);
        } else {
            upstream.onFailedResponse();
        }
    }

    private void onNotExecuted() {
        close("not-run", "status " + status.code());
        upstream.onRefused(nowMillis());
        if (metadata.misdirected()) {
            upstream.onUnreachable(nowMillis(), context().random());
        }
        releaseRetainedKv();
        owner.onNotExecuted(this);
    }

    private void onPrefilled() {
        Optional<String> kvHandle = status.code() == HttpResponseStatus.OK.code()
                ? context().codec().readKvHandle(content.toByteArray())
                : Optional.empty();
        if (kvHandle.isEmpty()) {
            close("failed", "status " + status.code());
            upstream.onFailedResponse();
            owner.onAttemptLost(this, "the prompt was not read");
            return;
        }
        close("read", "status " + status.code());
        recordResult(true);
        owner.onPrefilled(this, kvHandle.get());
    }

    @Override
    public void onFailure(String reason) {
        if (closed) {
            return;
        }
        close("broken", reason);
        upstream.onFailedResponse();
        upstream.onInconclusiveEnd(nowMillis());
        releaseRetainedKv();
        owner.onAttemptLost(this, reason);
    }

    /** Abandons the attempt; the upstream stops when it sees the connection closed. */
    void abandon(String reason) {
        if (closed) {
            return;
        }
        close("abandoned", reason);
        upstream.onInconclusiveEnd(nowMillis());
        if (connection != null) {
            connection.abandon();
        }
        releaseRetainedKv();
    }

    /** Abandons an attempt that was never opened. */
    void discard() {
        closed = true;
        releaseRetainedKv();
    }

    private void close(String outcome, String reason) {
        closed = true;
        if (watchdog != null) {
            watchdog.cancel(false);
        }
        recordMissingFirstAnswer();
        upstream.onDone();
        context().metrics().onAttempt(request().service().value(), outcome);
        context()
                .log()
                .event("attempt.ended")
                .with("request", request().id().value())
                .with("upstream", upstream.id().value())
                .with("outcome", outcome)
                .with("reason", reason)
                .with("tookMillis", sentAtMillis == 0 ? 0 : nowMillis() - sentAtMillis)
                .write();
    }

    private void recordMissingFirstAnswer() {
        if (!hasFirstAnswer) {
            hasFirstAnswer = true;
            upstream.onFirstResponsePart(uncachedTokens(), nowMillis());
        }
    }

    /** Releases the KV cache that the prefill engine retains for this attempt, unless the attempt has fetched it. */
    private void releaseRetainedKv() {
        boolean fetched = connection != null && metadata != null && !metadata.notExecuted();
        if (kvSource.isEmpty() || fetched) {
            return;
        }
        int slash = kvSource.get().indexOf('/');
        String address = kvSource.get().substring(0, slash);
        String path = context().codec().kvReleasePath(kvSource.get().substring(slash + 1));
        context()
                .pool()
                .acquire(
                        address,
                        Long.MAX_VALUE,
                        acquired -> acquired.forEach(pooled -> {
                            HttpHeaders host = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, address);
                            pooled.send(HttpMethod.DELETE, path, host, Unpooled.EMPTY_BUFFER, new IgnoringListener());
                        }));
    }

    /** Ignores the response to a release; KV cache that is not released here expires at the engine. */
    private static final class IgnoringListener implements HttpResponseListener {
        @Override
        public boolean onHead(HttpResponse response) {
            return true;
        }

        @Override
        public void onContent(ByteBuf bytes) {
            // Ignored.
        }

        @Override
        public void onComplete() {
            // Ignored.
        }

        @Override
        public void onFailure(String reason) {
            // Ignored.
        }
    }
}
