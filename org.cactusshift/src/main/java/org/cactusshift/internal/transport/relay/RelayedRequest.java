package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.cactusshift.internal.coordination.serving.Admission;
import org.cactusshift.internal.coordination.serving.Placement;
import org.cactusshift.internal.coordination.serving.PlacementQuery;
import org.cactusshift.internal.coordination.serving.RequestKind;
import org.cactusshift.internal.coordination.serving.RetryAfterPolicy;
import org.cactusshift.internal.coordination.serving.ServingRequest;
import org.cactusshift.internal.protocol.stream.EventSplitter;

/**
 * A request on its way: placed, sent, sent again where that is allowed, and answered once.
 *
 * <p>A refusal that promises "not run" is only given while no upstream may have run the request. Once one may have,
 * the caller gets the upstream's own answer, or 502 or 504.
 */
final class RelayedRequest {
    /** The answer goes out this long before the deadline, so that it is there in time. */
    private static final long DEADLINE_MARGIN_MILLIS = 15;

    /** How often a request without any usable upstream looks again. */
    private static final long LOOK_AGAIN_MILLIS = 50;

    /** A prompt is read apart at this many engines at most; then the engine that answers reads it. */
    private static final int MOST_READS = 3;

    /** The part of the latency target for which a request waits for an upstream to appear. */
    private static final int WAIT_PART = 2;

    private final RelayContext context;
    private final CallerExchange exchange;
    private final ServingRequest request;
    private final Optional<AccountId> account;
    private final long configVersion;
    private final Set<UpstreamId> excluded = new HashSet<>();
    private ScheduledFuture<?> deadline;
    private UpstreamAttempt attempt;
    private boolean counted;
    private int sends;
    private int reads;
    private int runs;
    private long lastEventId;
    private BufferedResponse failedAnswer;
    private boolean over;

    RelayedRequest(
            RelayContext context,
            CallerExchange exchange,
            RequestMetadata facts,
            ServingRequest request,
            Optional<AccountId> account,
            long configVersion) {
        this.context = context;
        this.exchange = exchange;
        this.request = request;
        this.account = account;
        this.configVersion = configVersion;
        this.lastEventId = facts.lastEventId().orElse(Long.MIN_VALUE);
    }

    void start() {
        exchange.onGone(this::onCallerGone);
        long remaining = request.deadlineMillis() - nowMillis() - DEADLINE_MARGIN_MILLIS;
        deadline = schedule(this::onDeadline, Math.max(0, remaining));
        context.log()
                .event("request.taken")
                .with("request", request.id().value())
                .with("account", request.account().value())
                .with("route", request.route().name())
                .with("service", request.service().value())
                .with("configVersion", configVersion)
                .with("promptTokens", request.promptTokens())
                .with("remainingMillis", remaining)
                .write();
        if (context.quarantine().verdict(request.fingerprint(), nowMillis()) == Quarantine.Verdict.REFUSED) {
            refuse("the request crashed several upstreams", request.route().timeoutMillis());
            return;
        }
        next();
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

    CallerExchange exchange() {
        return exchange;
    }

    ServingRequest request() {
        return request;
    }

    boolean isOver() {
        return over || exchange.isOver();
    }

    /** Places the request, for the first time or again. */
    private void next() {
        if (isOver()) {
            return;
        }
        long now = nowMillis();
        PlacementQuery query = new PlacementQuery(request, context.domain(), excluded, reads < MOST_READS);
        Optional<Placement> placed = context.placer().place(query, now);
        if (placed.isEmpty()) {
            waitForUpstream(now);
            return;
        }
        Placement placement = placed.get();
        long excess = Admission.excessMillis(request, placement.firstAnswerMillis(), now);
        if (sends == 0 && reads == 0 && excess > 0) {
            refuse("the first answer would come " + excess + " ms too late", excess);
            return;
        }
        if (placement.prefillEngine().isPresent()) {
            send(UpstreamAttempt.reading(this, placement));
        } else {
            send(UpstreamAttempt.running(this, placement, Optional.empty()));
        }
    }

    private void waitForUpstream(long now) {
        long waitUntil = request.arrivedAtMillis() + request.route().targetLatencyMillis() / WAIT_PART;
        if (runs > 0) {
            waitUntil = request.deadlineMillis();
        }
        if (now + LOOK_AGAIN_MILLIS <= waitUntil) {
            schedule(this::next, LOOK_AGAIN_MILLIS);
        } else {
            giveUp("no upstream takes the request");
        }
    }

    private void send(UpstreamAttempt next) {
        attempt = next;
        boolean repeats = next.isReading() ? reads > 0 : sends > 0;
        if (repeats
                && !context.retryBudgets()
                        .of(request.service())
                        .tryRetry(context.nodeCount().getAsInt(), nowMillis())) {
            attempt = null;
            next.discard();
            giveUp("the allowance for repeated sends is spent");
            return;
        }
        next.open();
    }

    /** Notes that bytes of an attempt are about to reach its upstream. */
    void onSending(UpstreamAttempt sending) {
        if (sending.isReading()) {
            reads++;
        } else {
            sends++;
        }
    }

    AttemptDirectives order(UpstreamAttempt sending) {
        OptionalLong resumeAfter = lastEventId == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(lastEventId);
        Placement placement = sending.placement();
        return new AttemptDirectives(
                sending.upstream().id(),
                account,
                Math.max(1, request.deadlineMillis() - nowMillis() - DEADLINE_MARGIN_MILLIS),
                sending.isReading(),
                sending.memorySource(),
                sending.memorySource().isPresent()
                        ? Optional.empty()
                        : placement.fetchFrom().map(engine -> engine.entry().address()),
                sending.isReading() ? OptionalLong.empty() : resumeAfter,
                request.priority());
    }

    /** Goes on after the prompt was read at another engine. */
    void onRead(UpstreamAttempt reading, String memoryName) {
        attempt = null;
        String source = reading.upstream().entry().address() + "/" + memoryName;
        UpstreamAttempt running = UpstreamAttempt.running(this, reading.placement(), Optional.of(source));
        if (isOver()) {
            running.discard();
        } else {
            send(running);
        }
    }

    /** Goes on after an attempt that did not run the request. */
    void onNotRun(UpstreamAttempt failed) {
        attempt = null;
        excluded.add(failed.upstream().id());
        if (failed.memorySource().isPresent()) {
            // The memory may be what could not be had, so its engine is not asked again either.
            failed.placement().prefillEngine().ifPresent(reader -> excluded.add(reader.id()));
        }
        next();
    }

    /** Goes on after an attempt that may have run the request and gave no whole answer. */
    void onLost(UpstreamAttempt lost, String reason) {
        attempt = null;
        excluded.add(lost.upstream().id());
        if (lost.isReading()) {
            next();
            return;
        }
        runs++;
        context.witness()
                .onConnectionLost(request.fingerprint(), lost.upstream().id(), lost.sentAtMillis(), nowMillis());
        if (mayRunAgain()) {
            next();
        } else {
            giveUp(reason);
        }
    }

    private boolean mayRunAgain() {
        return request.route().isRetryable()
                && runs < request.route().maximumAttempts()
                && context.quarantine().verdict(request.fingerprint(), nowMillis()) != Quarantine.Verdict.REFUSED;
    }

    /** Returns whether another upstream may be tried in place of one that is silent. */
    boolean hasAlternative(UpstreamAttempt silent) {
        return silent.isReading()
                || (request.route().isRetryable() && runs + 1 < request.route().maximumAttempts());
    }

    /** Takes a whole answer that is no stream. */
    void onAnswer(UpstreamAttempt answered, BufferedResponse answer) {
        attempt = null;
        count();
        runs++;
        boolean failed = answer.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        if (failed && !exchange.isStreaming() && mayRunAgain()) {
            failedAnswer = answer;
            excluded.add(answered.upstream().id());
            next();
            return;
        }
        if (exchange.isStreaming()) {
            finish("broken", "the resumed stream failed with " + answer.status().code());
            exchange.breakOff();
            return;
        }
        finish(
                failed ? "failed-upstream" : "answered",
                "status " + answer.status().code());
        exchange.answer(answer.status(), answer.headers(), answer.content());
    }

    /** Takes a whole event of a stream; events that the caller has are left out. */
    void onEvent(HttpResponseStatus status, HttpHeaders headers, EventSplitter.Event event) {
        if (event.id().isPresent()) {
            if (event.id().getAsLong() <= lastEventId) {
                return;
            }
            lastEventId = event.id().getAsLong();
        }
        if (!exchange.isStreaming()) {
            count();
            context.metrics().onFirstAnswer(request.route().kind().name(), nowMillis() - request.arrivedAtMillis());
            exchange.startStream(status, headers);
        }
        exchange.send(event.bytes());
    }

    void onStreamEnd(HttpResponseStatus status, HttpHeaders headers) {
        attempt = null;
        count();
        exchange.startStream(status, headers);
        finish("answered", "stream complete");
        exchange.endStream();
    }

    private void count() {
        if (!counted && account.isPresent()) {
            counted = true;
            context.startedRequests().add(account.get());
        }
    }

    private void onDeadline() {
        if (isOver()) {
            return;
        }
        UpstreamAttempt running = attempt;
        attempt = null;
        boolean mayRun = running != null && !running.isReading() && running.wasSent();
        if (running != null) {
            running.abandon("deadline");
        }
        if (mayRun) {
            runs++;
        }
        giveUp("the deadline is reached");
    }

    /** Ends the request without a success; tells "not run" only if that is true. */
    private void giveUp(String reason) {
        if (exchange.isStreaming()) {
            finish("broken", reason);
            exchange.breakOff();
        } else if (failedAnswer != null) {
            finish("failed-upstream", reason);
            exchange.answer(failedAnswer.status(), failedAnswer.headers(), failedAnswer.content());
        } else if (runs == 0) {
            refuse(reason, request.route().targetLatencyMillis());
        } else {
            boolean late = nowMillis() + 2 * DEADLINE_MARGIN_MILLIS >= request.deadlineMillis();
            HttpResponseStatus status = late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY;
            finish("unknown", reason);
            exchange.answer(status, textHeaders(), (reason + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    private void refuse(String reason, long excessMillis) {
        long remaining = Math.max(0, request.deadlineMillis() - nowMillis());
        long waitMillis = RetryAfterPolicy.waitMillis(excessMillis, remaining, context.random());
        HttpHeaders headers = textHeaders();
        context.codec().writeRetryAfter(headers, waitMillis);
        finish("refused", reason + "; back after " + waitMillis + " ms");
        exchange.answer(
                HttpResponseStatus.SERVICE_UNAVAILABLE, headers, (reason + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static HttpHeaders textHeaders() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        return headers;
    }

    private void finish(String outcome, String reason) {
        over = true;
        deadline.cancel(false);
        RequestKind kind = request.route().kind();
        long tookMillis = nowMillis() - request.arrivedAtMillis();
        if (kind != RequestKind.STREAM) {
            context.metrics().onFirstAnswer(kind.name(), tookMillis);
        }
        context.metrics().onRequest(kind.name(), outcome);
        context.log()
                .event("request.ended")
                .with("request", request.id().value())
                .with("outcome", outcome)
                .with("reason", reason)
                .with("sends", sends)
                .with("runs", runs)
                .with("tookMillis", tookMillis)
                .write();
    }

    private void onCallerGone() {
        if (over) {
            return;
        }
        UpstreamAttempt running = attempt;
        attempt = null;
        finish("caller-gone", "the caller closed its connection");
        if (running != null) {
            running.abandon("caller gone");
        }
    }
}
