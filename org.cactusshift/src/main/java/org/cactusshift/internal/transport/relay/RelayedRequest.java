package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.quarantine.CrashSuspect;
import org.cactusshift.internal.coordination.serving.Admission;
import org.cactusshift.internal.coordination.serving.Placement;
import org.cactusshift.internal.coordination.serving.PlacementQuery;
import org.cactusshift.internal.coordination.serving.RequestKind;
import org.cactusshift.internal.coordination.serving.RetryAfterPolicy;
import org.cactusshift.internal.coordination.serving.ServingRequest;
import org.cactusshift.internal.protocol.stream.SseEventSplitter;

/**
 * A request in progress: placed, sent, retried where that is allowed, and responded to at most once.
 *
 * <p>A refusal, which states that the request was not run, is sent only while no upstream may have run the request.
 * After that the caller gets the upstream's own response, or status 502 or 504.
 */
final class RelayedRequest {
    /**
     * Time reserved for the response to reach the caller: the request ends this long before its deadline, and upstreams
     * get that much less time.
     */
    private static final long DEADLINE_MARGIN_MILLIS = 15;

    /** Delay before the next placement of a request for which no upstream is usable. */
    private static final long PLACEMENT_RETRY_MILLIS = 50;

    /**
     * Maximum number of attempts at a prefill by a separate engine; after that the engine that sends the response does
     * the prefill too.
     */
    private static final int MAXIMUM_PREFILL_ATTEMPTS = 3;

    /**
     * A request that no upstream may have run waits for a usable upstream for at most its target latency divided by
     * this.
     */
    private static final int UPSTREAM_WAIT_DIVISOR = 2;

    private final RelayContext context;
    private final CallerExchange exchange;
    private final ServingRequest request;
    private final RequestOrigin origin;
    private final RequestSuspects suspects;

    /** The request whose response began the stream that the caller takes up again. */
    private final Optional<RequestId> resumedRequest;

    private final RequestLog log;
    private final PeerPass peerPass;
    private final Set<UpstreamId> excludedUpstreams = new HashSet<>();
    private ScheduledFuture<?> deadlineTimer;

    /** The newest open attempt; null while there is none. */
    private UpstreamAttempt currentAttempt;

    /**
     * The stalled run that {@link #currentAttempt} is to replace; null when there is none. It stays open until the
     * replacement responds, because the replacement may be refused.
     */
    private UpstreamAttempt stalledAttempt;

    private final SentAttempts sentAttempts = SentAttempts.none();

    /** Number of ended attempts that may have executed the request. */
    private int possibleExecutions;

    private final StreamProgress stream;

    /** The last error response of an upstream, passed on when no retry succeeds; null when there is none. */
    private BufferedResponse lastErrorResponse;

    private boolean ended;

    RelayedRequest(
            RelayContext context,
            CallerExchange exchange,
            RequestMetadata metadata,
            ServingRequest request,
            RequestOrigin origin) {
        this.context = context;
        this.exchange = exchange;
        this.request = request;
        this.origin = origin;
        this.log = new RequestLog(context, request);
        this.peerPass = new PeerPass(this, origin);
        this.suspects = RequestSuspects.create(context, request);
        this.resumedRequest = metadata.resumedRequest();
        this.stream = StreamProgress.after(
                request.route().kind() == RequestKind.STREAM ? metadata.lastEventId() : OptionalLong.empty());
    }

    void start() {
        exchange.setDisconnectListener(this::onCallerDisconnected);
        exchange.setStallLimitMillis(request.route().timeoutMillis());
        long remaining = request.deadlineMillis() - nowMillis() - DEADLINE_MARGIN_MILLIS;
        deadlineTimer = schedule(this::onDeadline, Math.max(0, remaining));
        log.taken(origin, remaining, resumedRequest);
        if (stream.lastEventId().isEmpty()) {
            placeAndSend();
        } else {
            StreamVersionRule.findOrigin(context, request, resumedRequest, this::resumeAt);
        }
    }

    /** Goes on with a stream that the caller takes up again, at the software version that began it. */
    private void resumeAt(Optional<SoftwareVersion> version) {
        stream.onBegun(version);
        if (stream.isOfUnknownVersion() && !isEnded()) {
            endWithoutSuccess("the software version that began the stream is not known");
        } else {
            placeAndSend();
        }
    }

    /** Returns whether the caller has events of the stream, so that not any upstream may send more. */
    boolean continuesStream() {
        return stream.version().isPresent();
    }

    private ScheduledFuture<?> schedule(Runnable task, long delayMillis) {
        return context.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private long nowMillis() {
        return context.clock().monotonicMillis();
    }

    RelayContext context() {
        return context;
    }

    SentAttempts sentAttempts() {
        return sentAttempts;
    }

    RequestOrigin origin() {
        return origin;
    }

    CallerExchange exchange() {
        return exchange;
    }

    ServingRequest request() {
        return request;
    }

    boolean isEnded() {
        return ended || exchange.isEnded();
    }

    /** Places the request and sends an attempt; called for the first attempt and for each retry. */
    private void placeAndSend() {
        if (isEnded()) {
            return;
        }
        Optional<CrashSuspect> refusedSuspect = suspects.refused();
        if (refusedSuspect.isPresent()) {
            endWithoutSuccess(
                    "the request crashes upstreams by " + refusedSuspect.get(),
                    request.route().timeoutMillis());
            return;
        }
        boolean unreachable = context.reachability().isUnreachable(request.service());
        if (peerPass.isDue(unreachable) && passToPeer()) {
            return;
        }
        long now = nowMillis();
        if (unreachable && possibleExecutions > 0 && !exchange.isStreaming()) {
            waitForUpstream(now);
            return;
        } else if (unreachable) {
            endWithoutSuccess("no upstream of the service is reachable");
            return;
        }
        Optional<Placement> found = place(now);
        if (found.isEmpty()) {
            if (!peerPass.isDueWithoutUpstream() || !passToPeer()) {
                waitForUpstream(now);
            }
            return;
        }
        Placement placement = found.get();
        long excess = Admission.excessMillis(request, placement.firstPartMillis(), now);
        if (sentAttempts.isEmpty() && excess > 0) {
            refuse("the first answer would come " + excess + " ms too late", excess);
            return;
        }
        send(UpstreamAttempt.first(this, placement));
    }

    /** Passes the request, if no upstream may have run it, to a peer that may take it; returns whether it did. */
    private boolean passToPeer() {
        return possibleExecutions == 0
                && !exchange.isStreaming()
                && peerPass.start(request.deadlineMillis() - DEADLINE_MARGIN_MILLIS, !sentAttempts.isEmpty());
    }

    /** Continues after an attempt at a peer has ended. */
    void onPassEnded(PeerAttempt attempt, PeerAttempt.Result result, String reason) {
        switch (result) {
            case ANSWERED -> {
                end("passed", reason);
                attempt.respond();
            }
            case NOT_TAKEN -> placeAndSend();
            case REFUSED -> {
                end("refused", "a peer refused: " + reason);
                attempt.respond();
            }
            case LOST -> {
                sentAttempts.addPassed();
                possibleExecutions++;
                endWithoutSuccess(reason);
            }
            default -> throw new IllegalStateException("unknown result: " + result);
        }
    }

    private Optional<Placement> place(long now) {
        return context.placer().place(placementQuery(), now);
    }

    private PlacementQuery placementQuery() {
        return new PlacementQuery(
                request,
                context.domain(),
                excludedUpstreams,
                StreamVersionRule.allowedVersions(context, request, stream),
                sentAttempts.prefills() < MAXIMUM_PREFILL_ATTEMPTS);
    }

    /**
     * Places the request again after a delay, or ends it when its waiting time is over; once an attempt may have run
     * it, it waits until its deadline. It is ended at once if the request limits or rests of all upstreams last longer.
     */
    private void waitForUpstream(long now) {
        long waitUntil = request.arrivedAtMillis() + request.route().targetLatencyMillis() / UPSTREAM_WAIT_DIVISOR;
        if (possibleExecutions > 0) {
            waitUntil = request.deadlineMillis();
        }
        OptionalLong earliest = context.placer().earliestPlacementMillis(placementQuery(), now);
        if (earliest.isPresent() && earliest.getAsLong() > waitUntil) {
            endUntil(earliest.getAsLong(), now);
        } else if (earliest.isEmpty() && stream.version().isPresent()) {
            endWithoutSuccess("no other upstream has the software version "
                    + stream.version().get());
        } else if (now + PLACEMENT_RETRY_MILLIS <= waitUntil) {
            schedule(this::placeAndSend, PLACEMENT_RETRY_MILLIS);
        } else {
            endWithoutSuccess("no upstream takes the request");
        }
    }

    /** Ends a request that no upstream accepts before a known time. */
    private void endUntil(long acceptedAtMillis, long now) {
        String reason = "all upstreams rest or are at their request limits";
        if (possibleExecutions > 0 || exchange.isStreaming() || acceptedAtMillis == UpstreamRequestLimits.NEVER) {
            endWithoutSuccess(reason);
        } else {
            refuseFor(reason, RetryAfterPolicy.retryAfterWaitMillis(acceptedAtMillis - now, context.random()));
        }
    }

    private void send(UpstreamAttempt next) {
        if (isAllowed(next)) {
            currentAttempt = next;
            next.start();
            return;
        }
        next.discard();
        if (stalledAttempt != null) {
            returnToStalledAttempt();
        } else {
            endWithoutSuccess("the allowance for repeated sends is spent");
        }
    }

    /** Returns whether an attempt may be sent, for which a retry is taken from the budget if it is one. */
    private boolean isAllowed(UpstreamAttempt next) {
        return !sentAttempts.hasOneLike(next) || RetryPermit.take(context, request);
    }

    AttemptDirectives directives(UpstreamAttempt attempt) {
        long remainingMillis = Math.max(1, request.deadlineMillis() - nowMillis() - DEADLINE_MARGIN_MILLIS);
        return AttemptDirectives.of(
                attempt, origin.account(), remainingMillis, stream.lastEventId(), request.priority());
    }

    /** Continues after a separate engine has done the prefill. */
    void onPrefilled(UpstreamAttempt prefillAttempt, String kvHandle) {
        currentAttempt = null;
        String source = prefillAttempt.upstream().entry().address() + "/" + kvHandle;
        UpstreamAttempt runAttempt = UpstreamAttempt.run(this, prefillAttempt.placement(), Optional.of(source));
        boolean limitedMeanwhile = context.upstreamLimits()
                .isLimitedSince(runAttempt.upstream().incarnation(), prefillAttempt.startedAtMillis());
        boolean restsMeanwhile = runAttempt.upstream().rest().lasts(nowMillis());
        if (isEnded()) {
            runAttempt.discard();
        } else if (limitedMeanwhile || restsMeanwhile) {
            runAttempt.discard();
            placeAndSend();
        } else {
            send(runAttempt);
        }
    }

    /**
     * Sends the request to another upstream in place of a stalled attempt, if the route, the retry budget and the state
     * of the upstreams allow it. A stalled prefill is abandoned; a stalled run stays open until the replacement
     * responds.
     *
     * @return whether another attempt was sent; otherwise the stalled one goes on
     */
    boolean replace(UpstreamAttempt stalled) {
        if (!stalled.isPrefill() && !mayRunAgain(stalledAttempt == null ? 1 : 2)) {
            return false;
        }
        excludedUpstreams.add(stalled.upstream().id());
        Optional<UpstreamAttempt> next = place(nowMillis()).map(placement -> UpstreamAttempt.first(this, placement));
        if (next.isEmpty() || !isAllowed(next.get())) {
            return false;
        }
        if (stalledAttempt == null && !stalled.isPrefill()) {
            stalledAttempt = stalled;
        } else {
            // It is a prefill, or an earlier stalled run is still open.
            countLostRun(stalled);
            stalled.abandon("silent");
        }
        currentAttempt = next.get();
        currentAttempt.start();
        return true;
    }

    /** Returns whether the request may be run once more, beside the given number of runs that are still open. */
    private boolean mayRunAgain(int openRuns) {
        return request.route().isRetryable()
                && !stream.isOfUnknownVersion()
                && possibleExecutions + openRuns < request.route().maximumAttempts()
                && suspects.refused().isEmpty();
    }

    /** Makes an attempt that has responded the only one. */
    void takeOver(UpstreamAttempt responding) {
        if (stalledAttempt == null) {
            return;
        }
        UpstreamAttempt other = responding == stalledAttempt ? currentAttempt : stalledAttempt;
        if (responding == stalledAttempt) {
            possibleExecutions += other.mayHaveRun() ? 1 : 0;
        } else {
            countLostRun(other);
        }
        currentAttempt = responding;
        stalledAttempt = null;
        other.abandon("another upstream responded");
        responding.checkProgressLater();
    }

    private void returnToStalledAttempt() {
        currentAttempt = stalledAttempt;
        stalledAttempt = null;
        currentAttempt.checkProgressLater();
    }

    /**
     * Removes an attempt that has ended without a usable response; returns whether another one goes on. A stalled run
     * whose replacement failed is replaced again only after a further check, so that it does not use up the budget.
     */
    private boolean remove(UpstreamAttempt endedAttempt) {
        excludedUpstreams.add(endedAttempt.upstream().id());
        if (endedAttempt == stalledAttempt) {
            stalledAttempt = null;
            return true;
        }
        currentAttempt = null;
        if (stalledAttempt == null) {
            return false;
        }
        returnToStalledAttempt();
        return true;
    }

    /** Counts a run that ended without a valid response, but may have been executed. */
    private void countLostRun(UpstreamAttempt attempt) {
        if (attempt.mayHaveRun()) {
            possibleExecutions++;
            suspects.onLost(attempt);
        }
    }

    /** Continues after an attempt for which no connection to the upstream could be opened. */
    void onNotReached(UpstreamAttempt attempt) {
        peerPass.onUpstreamNotReached();
        onNotExecuted(attempt);
    }

    /** Continues after an attempt that did not run the request. */
    void onNotExecuted(UpstreamAttempt attempt) {
        if (attempt.kvSource().isPresent()) {
            // The cause may be that the KV cache could not be fetched, so its prefill engine is excluded too.
            attempt.placement().prefillEngine().ifPresent(prefillEngine -> excludedUpstreams.add(prefillEngine.id()));
        }
        if (!remove(attempt)) {
            placeAndSend();
        }
    }

    /**
     * Continues after an attempt that was sent and brought no valid response; unless it was a prefill, it may have run
     * the request.
     */
    void onAttemptFailed(UpstreamAttempt attempt, String reason) {
        countLostRun(attempt);
        if (remove(attempt)) {
            return;
        }
        if (attempt.isPrefill() || mayRunAgain(0)) {
            placeAndSend();
        } else {
            endWithoutSuccess(reason);
        }
    }

    /** Handles a complete response that is not a stream. */
    void onResponse(UpstreamAttempt attempt, BufferedResponse response) {
        log.started(origin);
        possibleExecutions++;
        boolean isError = response.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        if (isError || exchange.isStreaming()) {
            onUnusableResponse(attempt, response);
            return;
        }
        takeOver(attempt);
        currentAttempt = null;
        if (response.status().codeClass() == HttpStatusClass.SUCCESS) {
            suspects.onCompleted(attempt);
        }
        end("answered", "status " + response.status().code());
        exchange.respond(response.status(), response.headers(), response.content());
    }

    private void onUnusableResponse(UpstreamAttempt attempt, BufferedResponse response) {
        boolean isStreaming = exchange.isStreaming();
        if (!isStreaming) {
            lastErrorResponse = response;
        }
        if (remove(attempt)) {
            return;
        }
        if (!isStreaming && mayRunAgain(0)) {
            placeAndSend();
            return;
        }
        endWithoutSuccess(
                isStreaming
                        ? "the resumed stream failed with " + response.status().code()
                        : "status " + response.status().code());
    }

    /** Passes on a complete event of a stream; events that the caller already has are skipped. */
    void onEvent(
            UpstreamAttempt attempt, HttpResponseStatus status, HttpHeaders headers, SseEventSplitter.Event event) {
        if (stalledAttempt != null && !event.hasFields()) {
            // A comment does not show which of the two attempts goes on.
            return;
        }
        takeOver(attempt);
        if (!stream.isNew(event.id())) {
            return;
        }
        if (!exchange.isStreaming()) {
            log.started(origin);
            if (!continuesStream()) {
                beginStream(attempt);
            }
            context.metrics()
                    .onFirstResponsePart(request.route().kind().name(), nowMillis() - request.arrivedAtMillis());
            exchange.startStream(status, headers);
        }
        exchange.send(event.bytes());
    }

    private void beginStream(UpstreamAttempt attempt) {
        Optional<SoftwareVersion> version = attempt.softwareVersion();
        stream.onBegun(version);
        if (request.route().isRetryable()) {
            version.ifPresent(known -> context.streamOrigins().record(request.id(), known));
        }
        log.streamBegun(attempt.upstream().id(), version);
    }

    /** Handles the end of a stream. */
    void onStreamEnd(UpstreamAttempt attempt, HttpResponseStatus status, HttpHeaders headers) {
        takeOver(attempt);
        currentAttempt = null;
        suspects.onCompleted(attempt);
        log.started(origin);
        // A stream without events has not been started yet; otherwise this has no effect.
        exchange.startStream(status, headers);
        end("answered", "stream complete");
        exchange.endStream();
    }

    private void onDeadline() {
        if (isEnded()) {
            return;
        }
        abandonOpenAttempts("deadline");
        endWithoutSuccess("the deadline is reached");
    }

    private void abandonOpenAttempts(String reason) {
        for (UpstreamAttempt attempt : new UpstreamAttempt[] {currentAttempt, stalledAttempt}) {
            if (attempt != null) {
                possibleExecutions += attempt.mayHaveRun() ? 1 : 0;
                attempt.abandon(reason);
            }
        }
        currentAttempt = null;
        stalledAttempt = null;
        possibleExecutions += peerPass.abandon() ? 1 : 0;
    }

    /** Ends the request without success; states that it was not run only if no upstream may have run it. */
    private void endWithoutSuccess(String reason) {
        endWithoutSuccess(reason, request.route().targetLatencyMillis());
    }

    /** Ends the request likewise; a refusal bases its delay on {@code retryDelayMillis}. */
    private void endWithoutSuccess(String reason, long retryDelayMillis) {
        if (exchange.isStreaming()) {
            end("broken", reason);
            exchange.abort();
        } else if (lastErrorResponse != null) {
            end("failed-upstream", reason);
            exchange.respond(lastErrorResponse.status(), lastErrorResponse.headers(), lastErrorResponse.content());
        } else if (possibleExecutions == 0) {
            refuse(reason, retryDelayMillis);
        } else {
            // Within twice the margin before the deadline, the deadline is taken to be the cause.
            boolean atDeadline = nowMillis() + 2 * DEADLINE_MARGIN_MILLIS >= request.deadlineMillis();
            HttpResponseStatus status =
                    atDeadline ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY;
            end("unknown", reason);
            PlainTextResponse.send(exchange, status, new DefaultHttpHeaders(), reason);
        }
    }

    /** Refuses the request; the delay after which the caller should retry is based on {@code baseDelayMillis}. */
    private void refuse(String reason, long baseDelayMillis) {
        long remaining = Math.max(0, request.deadlineMillis() - nowMillis());
        refuseFor(reason, RetryAfterPolicy.retryAfterMillis(baseDelayMillis, remaining, context.random()));
    }

    private void refuseFor(String reason, long retryAfterMillis) {
        end("refused", reason + "; Retry-After " + retryAfterMillis + " ms");
        PlainTextResponse.refuse(exchange, context.codec(), reason, retryAfterMillis);
    }

    private void end(String outcome, String reason) {
        ended = true;
        deadlineTimer.cancel(false);
        log.ended(outcome, reason, sentAttempts.runs(), possibleExecutions);
        peerPass.onRequestEnded(sentAttempts.isEmpty());
    }

    private void onCallerDisconnected() {
        if (ended) {
            return;
        }
        end("caller-gone", "caller disconnected");
        abandonOpenAttempts("caller disconnected");
    }
}
