package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.internal.coordination.limits.ResponseBufferLimit;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.Placement;
import org.cactusshift.internal.coordination.serving.PromptPart;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.cactusshift.internal.coordination.serving.RequestKind;
import org.cactusshift.internal.coordination.serving.SentWork;
import org.cactusshift.internal.coordination.serving.ServingRequest;
import org.cactusshift.internal.coordination.serving.StallDetector;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.protocol.stream.SseEventSplitter;

/** One attempt to have a request prefilled or run by one upstream. */
final class UpstreamAttempt implements HttpResponseListener {
    /**
     * The maximum idle time of a connection that a non-repeatable request may use. Connections that were used recently
     * are least likely to be stale; a request that was sent on a stale one may have run and could not be sent again.
     */
    static final long MAXIMUM_IDLE_FOR_NON_REPEATABLE_MILLIS = 2_000;

    /** The maximum body of a response that is not a stream; a longer one fails the attempt. */
    static final int MAXIMUM_RESPONSE_BYTES = 16 * 1_024 * 1_024;

    /** The maximum length of one event of a stream; a longer one fails the attempt. */
    static final int MAXIMUM_EVENT_BYTES = 1_024 * 1_024;

    /** Minimum time without progress after which an upstream is abandoned where a retry is allowed. */
    private static final long MINIMUM_PROGRESS_TIMEOUT_MILLIS = 700;

    /**
     * An upstream is abandoned after this many times the expected time to the first part of its response, if that is
     * longer than {@link #MINIMUM_PROGRESS_TIMEOUT_MILLIS}.
     */
    private static final int EXPECTED_TIME_FACTOR = 3;

    /**
     * A stream without an event for this many times its target event gap is resumed at another upstream where that is
     * allowed.
     */
    private static final int TARGET_GAP_FACTOR = 3;

    /** Why an attempt ends whose response holds more than its share of the memory for responses. */
    static final String TOO_MUCH_BUFFERED = "incomplete responses take too much memory, and this one most";

    private static final String UNSIGNED_RESPONSE = "the answer carries no signature";

    private final RelayedRequest relayedRequest;
    private final Placement placement;
    private final boolean isPrefill;
    private final Optional<String> kvSource;
    private final Upstream upstream;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private final SseEventSplitter events = SseEventSplitter.create(MAXIMUM_EVENT_BYTES);
    private final ResponseBufferLimit.Account buffered;
    private final HeldMemory heldMemory;

    /** Null until the request is sent. */
    private HttpClientConnection connection;

    private ScheduledFuture<?> progressTimer;

    /** Null, like the headers and the metadata, until the head of the response arrives. */
    private HttpResponseStatus status;

    private HttpHeaders headers;
    private ResponseMetadata metadata;
    private boolean isStreaming;

    /** Whether the caller has got a part of the stream within the response that this attempt is to go on with. */
    private boolean isContinuation;

    /** Whether the response has brought an event, with an id if it goes on with another response. */
    private boolean hasBroughtEvent;

    /** Whether the first response part is recorded at the upstream, or will not come. */
    private boolean firstResponsePartRecorded;

    private boolean ended;

    private long startedAtMillis;

    /** 0 until the request is sent. */
    private long sentAtMillis;

    /** The work at the upstream when the attempt started; null until then. */
    private SentWork work;

    /** Null until the request is sent. */
    private StallDetector stallDetector;

    private UpstreamAttempt(
            RelayedRequest relayedRequest, Placement placement, boolean isPrefill, Optional<String> kvSource) {
        this.relayedRequest = relayedRequest;
        this.placement = placement;
        this.isPrefill = isPrefill;
        this.kvSource = kvSource;
        this.buffered = relayedRequest.context().responseBuffers().open();
        this.upstream = isPrefill ? placement.prefillEngine().orElseThrow() : placement.target();
        this.heldMemory = new HeldMemory(upstream, placement, relayedRequest.request(), isPrefill);
    }

    /** Returns the first of the one or two attempts that a placement takes. */
    static UpstreamAttempt first(RelayedRequest relayedRequest, Placement placement) {
        return placement.prefillEngine().isPresent()
                ? prefill(relayedRequest, placement)
                : run(relayedRequest, placement, Optional.empty());
    }

    private static UpstreamAttempt prefill(RelayedRequest relayedRequest, Placement placement) {
        return new UpstreamAttempt(relayedRequest, placement, true, Optional.empty());
    }

    static UpstreamAttempt run(RelayedRequest relayedRequest, Placement placement, Optional<String> kvSource) {
        return new UpstreamAttempt(relayedRequest, placement, false, kvSource);
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

    /** Returns whether this attempt was sent to run the request, so that the upstream may have executed it. */
    boolean mayHaveRun() {
        return !isPrefill && connection != null;
    }

    long startedAtMillis() {
        return startedAtMillis;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    private RelayContext context() {
        return relayedRequest.context();
    }

    private long nowMillis() {
        return context().clock().monotonicMillis();
    }

    private ServingRequest request() {
        return relayedRequest.request();
    }

    /** Acquires a connection and sends the request on it; the relayed request is told of the outcome. */
    void start() {
        boolean nonRepeatable = request().route().kind() == RequestKind.NOT_REPEATABLE;
        long maximumIdleMillis = nonRepeatable ? MAXIMUM_IDLE_FOR_NON_REPEATABLE_MILLIS : Long.MAX_VALUE;
        startedAtMillis = nowMillis();
        work = upstream.workOf(stage(), uncachedTokens(), request().prompt().isEmpty(), startedAtMillis);
        if (isPrefill) {
            // Counted now, so that it is within the limit when the prefill is done.
            context().upstreamLimits().onSend(placement.target().incarnation(), startedAtMillis);
        }
        if (kvSource.isEmpty()) {
            context().upstreamLimits().onSend(upstream.incarnation(), startedAtMillis);
        }
        upstream.onSend(uncachedTokens(), nowMillis());
        heldMemory.hold();
        String address = upstream.entry().address();
        relayedRequest.sentAttempts().connect(context().pool(), address, maximumIdleMillis, this::onConnection);
    }

    private long uncachedTokens() {
        return kvSource.isPresent() ? 0 : placement.uncachedTokens();
    }

    private void onConnection(Either<Failure, HttpClientConnection> acquired) {
        if (ended) {
            acquired.forEach(context().pool()::release);
            return;
        }
        if (acquired.isLeft()) {
            end("not-reached", acquired.getLeft().message());
            context().upstreamCheck().onConnectFailed(upstream);
            releaseRetainedKv();
            relayedRequest.onNotReached(this);
            return;
        }
        if (acquired.get().openedAtMillis() >= startedAtMillis) {
            context().upstreamCheck().onConnected(upstream);
        }
        if (upstream.isLeaving()) {
            // The upstream started to leave while the prefill ran elsewhere or the connection was being opened.
            endUnsent(acquired.get(), "left", "the upstream is leaving");
            return;
        }
        if (upstream.rest().lasts(nowMillis())) {
            endUnsent(acquired.get(), "resting", "the upstream has asked for rest meanwhile");
            return;
        }
        if (relayedRequest.continuesStream() && !isVersionCertain(acquired.get())) {
            endUnsent(acquired.get(), "left", "the upstream may run another software version by now");
            return;
        }
        connection = acquired.get();
        sentAtMillis = nowMillis();
        relayedRequest.sentAttempts().add(this);
        isContinuation = relayedRequest.exchange().isStreaming();
        HttpHeaders requestHeaders = ForwardedHeaders.ofRequest(
                relayedRequest.exchange().request().headers(), context().codec());
        context().codec().writeDirectives(requestHeaders, relayedRequest.directives(this));
        connection.send(
                relayedRequest.exchange().request().method(),
                relayedRequest.exchange().request().uri(),
                requestHeaders,
                relayedRequest.exchange().body(),
                ResponseProof.ofUpstream(context().codec(), request().id()),
                this);
        long expectedMillis = isPrefill ? placement.prefillMillis() : placement.firstPartMillis();
        long limitMillis = Math.max(MINIMUM_PROGRESS_TIMEOUT_MILLIS, EXPECTED_TIME_FACTOR * expectedMillis);
        stallDetector = StallDetector.create(limitMillis, sentAtMillis);
        scheduleProgressCheck(limitMillis);
        context()
                .log()
                .event("attempt.sent")
                .with("request", request().id().value())
                .with("upstream", upstream.id().value())
                .with("softwareVersion", upstream.entry().softwareVersion().value())
                .with("reading", isPrefill)
                .with("freshTokens", uncachedTokens())
                .with(
                        "fetchFrom",
                        placement.fetchFrom().map(from -> from.id().value()).orElse("-"))
                .with("openThere", upstream.openRequests())
                .with("expectedMillis", expectedMillis)
                .write();
    }

    private void endUnsent(HttpClientConnection unused, String outcome, String reason) {
        context().pool().release(unused);
        end(outcome, reason);
        releaseRetainedKv();
        relayedRequest.onNotExecuted(this);
    }

    /** Returns the software version of the upstream that responds, empty when its entry may be outdated. */
    Optional<SoftwareVersion> softwareVersion() {
        return isVersionCertain(connection) ? Optional.of(upstream.entry().softwareVersion()) : Optional.empty();
    }

    /**
     * Returns whether the entry of the upstream is that of the process at the other end of a connection: it was read
     * recently, or after the connection was opened.
     */
    private boolean isVersionCertain(HttpClientConnection candidate) {
        return context().upstreamEntries().isCurrent()
                || candidate.openedAtMillis() < context().upstreamEntries().readSinceMillis();
    }

    private void scheduleProgressCheck(long delayMillis) {
        progressTimer = context().eventLoop().schedule(this::checkProgress, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Resumes the checks that pause while another attempt is open as a replacement. */
    void checkProgressLater() {
        if (!ended) {
            progressTimer.cancel(false);
            scheduleProgressCheck(stallDetector.limitMillis());
        }
    }

    private void checkProgress() {
        if (ended) {
            return;
        }
        long now = nowMillis();
        long upstreamStalledMillis = upstream.millisSinceProgress(now);
        long remainingMillis = stallDetector.remainingMillis(upstreamStalledMillis, now);
        if (remainingMillis > 0) {
            scheduleProgressCheck(remainingMillis);
            return;
        }
        context().upstreamCheck().afterStall(upstream);
        boolean replaced = relayedRequest.replace(this);
        context()
                .log()
                .event("attempt.stalled")
                .with("request", request().id().value())
                .with("upstream", upstream.id().value())
                .with("stalledMillis", stallDetector.stalledMillis(upstreamStalledMillis, now))
                .with("limitMillis", stallDetector.limitMillis())
                .with("replaced", replaced)
                .write();
        if (replaced) {
            upstream.onFailedAttempt(nowMillis());
        } else {
            scheduleProgressCheck(stallDetector.limitMillis());
        }
    }

    @Override
    public void onHead(HttpResponse response) {
        metadata = context().codec().readResponse(response);
        status = response.status();
        headers = ForwardedHeaders.ofResponse(response.headers(), context().codec());
        if (relayedRequest.origin().isPeer()) {
            PassedRequest.writeUpstream(headers, upstream.id());
        }
        isStreaming = !isPrefill
                && request().route().kind() == RequestKind.STREAM
                && EventStreamResponse.mayHoldEvents(status, headers);
        stallDetector.onProgress(nowMillis());
        new UpstreamStatements(context(), upstream, request().id().value()).record(metadata, sentAtMillis, nowMillis());
        metadata.idleTimeoutMillis().ifPresent(connection::setIdleLimitMillis);
        if (!isStreaming) {
            recordFirstResponsePart();
        } else if (metadata.signed()) {
            relayedRequest.takeOver(this);
        }
    }

    private void recordFirstResponsePart() {
        if (firstResponsePartRecorded) {
            return;
        }
        firstResponsePartRecorded = true;
        stallDetector.onResponseStarted();
        long tookMillis = nowMillis() - sentAtMillis;
        upstream.onFirstResponsePart(uncachedTokens(), nowMillis());
        if (metadata != null && !metadata.notExecuted()) {
            recordCachedPrompt();
            // An error says nothing about the time that the work takes.
            if (status.code() < HttpResponseStatus.BAD_REQUEST.code()) {
                context().responseTimes().onFirstPart(upstream, work, tookMillis, nowMillis());
            }
        }
    }

    /** Records that the upstream now has the KV cache of the prompt. */
    private void recordCachedPrompt() {
        if (request().prompt().isEmpty()) {
            return;
        }
        upstream.onPrefilled(request().prompt(), context().nodeCount().getAsInt());
        for (PromptPart part : request().prompt()) {
            if (PromptPartUse.isAdvertised(part)) {
                context().promptPartUseListener().accept(new PromptPartUse(upstream.id(), part));
            }
        }
    }

    /** Returns the stage whose latency estimate applies, {@link EngineStage#ANY} when nothing is prefilled here. */
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
        if (!isStreaming) {
            recordProgress();
            addContent(bytes);
            return;
        }
        if (!metadata.signed()) {
            // No event of it is passed on, and it may never end.
            fail(UNSIGNED_RESPONSE);
            return;
        }
        List<SseEventSplitter.Event> completeEvents;
        try {
            completeEvents = events.append(bytes);
        } catch (IllegalArgumentException e) {
            fail(e.getMessage());
            return;
        }
        // Only events count: a stalled upstream may send a byte or a comment now and then.
        if (completeEvents.stream().anyMatch(SseEventSplitter.Event::hasFields)) {
            recordProgress();
            if (!firstResponsePartRecorded) {
                recordFirstResponsePart();
                scheduleEventGapCheck();
            }
        }
        for (SseEventSplitter.Event event : completeEvents) {
            hasBroughtEvent |=
                    event.hasFields() && (!isContinuation || event.id().isPresent());
            if (!hasBroughtEvent && event.hasFields()) {
                fail("the resumed stream has an event without an id");
                return;
            }
            relayedRequest.onEvent(this, status, headers, event);
        }
        if (!ended && !buffered.hold(events.partialBytes())) {
            fail(TOO_MUCH_BUFFERED);
            return;
        }
        if (!relayedRequest.exchange().isWritable()) {
            pauseReading();
        }
    }

    private void recordProgress() {
        stallDetector.onProgress(nowMillis());
        upstream.onProgress(nowMillis());
    }

    /** Applies the back-pressure of a caller that reads slowly. */
    private void pauseReading() {
        stallDetector.onPaused();
        connection.setReading(false);
        relayedRequest.exchange().setWritableListener(() -> {
            if (!ended) {
                stallDetector.onResumed(nowMillis());
                connection.setReading(true);
            }
        });
    }

    private void scheduleEventGapCheck() {
        progressTimer.cancel(false);
        long gapMillis = request().route().targetEventGapMillis();
        stallDetector.setLimitMillis(Math.max(MINIMUM_PROGRESS_TIMEOUT_MILLIS, TARGET_GAP_FACTOR * gapMillis));
        scheduleProgressCheck(stallDetector.limitMillis());
    }

    private void addContent(ByteBuf bytes) {
        if (content.size() + bytes.readableBytes() > MAXIMUM_RESPONSE_BYTES) {
            fail("the answer is longer than " + MAXIMUM_RESPONSE_BYTES + " bytes");
            return;
        }
        content.writeBytes(ByteBufUtil.getBytes(bytes));
        if (!buffered.hold(content.size())) {
            fail(TOO_MUCH_BUFFERED);
        }
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
            onFailure(UNSIGNED_RESPONSE);
        } else if (!isStreaming) {
            end("answered", "status " + status.code());
            recordResult(status.code() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
            relayedRequest.onResponse(this, new BufferedResponse(status, headers, content.toByteArray()));
        } else if (events.hasPartialEvent()) {
            onFailure("the stream ended inside an event");
        } else if (isContinuation && !hasBroughtEvent) {
            onFailure("the resumed stream ended without an event");
        } else if (!hasBroughtEvent && connection.isDelimitedByClose()) {
            onFailure("the connection ended before the first event");
        } else {
            end("answered", "stream complete");
            recordResult(true);
            relayedRequest.onStreamEnd(this, status, headers);
        }
    }

    private void recordResult(boolean isSuccess) {
        if (isSuccess) {
            upstream.onSuccess(sentAtMillis);
        } else {
            upstream.onFailedAttempt(nowMillis());
        }
    }

    private void onNotExecuted() {
        end("not-run", "status " + status.code());
        upstream.onRefused(!metadata.misdirected(), nowMillis());
        if (metadata.misdirected()) {
            // Another upstream now listens at this address.
            upstream.onUnreachable(nowMillis(), context().random());
        }
        releaseRetainedKv();
        relayedRequest.onNotExecuted(this);
    }

    private void onPrefilled() {
        Optional<String> kvHandle = status.code() == HttpResponseStatus.OK.code()
                ? context().codec().readKvHandle(content.toByteArray())
                : Optional.empty();
        if (kvHandle.isEmpty()) {
            end("failed", "no KV handle, status " + status.code());
            upstream.onFailedAttempt(nowMillis());
            relayedRequest.onAttemptFailed(this, "the prefill failed");
            return;
        }
        end("read", "status " + status.code());
        recordResult(true);
        relayedRequest.onPrefilled(this, kvHandle.get());
    }

    @Override
    public void onFailure(String reason) {
        if (ended) {
            return;
        }
        end("broken", reason);
        upstream.onFailedAttempt(nowMillis());
        upstream.onInconclusiveEnd(nowMillis());
        releaseRetainedKv();
        relayedRequest.onAttemptFailed(this, reason);
    }

    /** Abandons the attempt and closes its connection, on which the upstream cancels the request. */
    void abandon(String reason) {
        if (ended) {
            return;
        }
        end("abandoned", reason);
        upstream.onInconclusiveEnd(nowMillis());
        if (connection != null) {
            connection.abandon();
        }
        releaseRetainedKv();
    }

    /** Abandons an attempt that was never started. */
    void discard() {
        ended = true;
        releaseRetainedKv();
    }

    private void end(String outcome, String reason) {
        ended = true;
        buffered.close();
        if (progressTimer != null) {
            progressTimer.cancel(false);
        }
        settlePendingPrefill();
        upstream.onEnd();
        heldMemory.release();
        context().metrics().onAttemptEnded(request().service().value(), outcome);
        context()
                .log()
                .event("attempt.ended")
                .with("request", request().id().value())
                .with("upstream", upstream.id().value())
                .with("outcome", outcome)
                .with("reason", reason)
                .with("tookMillis", sentAtMillis == 0 ? 0 : nowMillis() - sentAtMillis)
                .with("connectionAgeMillis", connection == null ? 0 : sentAtMillis - connection.openedAtMillis())
                .write();
    }

    /** Records, when no first response part came, that the prefill is no longer pending at the upstream. */
    private void settlePendingPrefill() {
        if (!firstResponsePartRecorded) {
            firstResponsePartRecorded = true;
            upstream.onFirstResponsePart(uncachedTokens(), nowMillis());
        }
    }

    /**
     * Releases the KV cache that the prefill engine retains for this attempt, unless a response shows that the cache
     * was fetched.
     */
    private void releaseRetainedKv() {
        boolean fetched = connection != null && metadata != null && !metadata.notExecuted();
        if (kvSource.isEmpty() || fetched) {
            return;
        }
        placement.prefillEngine().ifPresent(engine -> KvRelease.send(context(), engine, kvSource.get()));
    }
}
