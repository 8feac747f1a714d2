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
import org.cactusshift.internal.protocol.stream.SseEventSplitter;

/**
 * A request in progress: placed, sent, retried where that is allowed, and responded to exactly once.
 *
 * <p>A refusal, which states that the request was not run, is sent only while no upstream may have run the request.
 * After that the caller gets the upstream's own response, or status 502 or 504.
 */
final class RelayedRequest {
    /** The response is sent this long before the deadline, so that it reaches the caller in time. */
    private static final long DEADLINE_MARGIN_MILLIS = 15;

    /** Delay before the next placement of a request for which no upstream is usable. */
    private static final long PLACEMENT_RETRY_MILLIS = 50;

    /** Maximum number of attempts at a separate prefill; after that the engine that answers does the prefill too. */
    private static final int MAXIMUM_PREFILL_ATTEMPTS = 3;

    /** The latency target is divided by this for the time that a request waits for an upstream to become usable. */
    private static final int UPSTREAM_WAIT_DIVISOR = 2;

    private final RelayContext context;
    private final CallerExchange exchange;
    private final ServingRequest request;
    private final Optional<AccountId> account;
    private final long configVersion;
    private final Set<UpstreamId> excluded = new HashSet<>();
    private ScheduledFuture<?> deadline;
    private UpstreamAttempt attempt;
    private boolean usageCounted;
    private int runAttempts;
    private int prefillAttempts;
    private int possibleRuns;
    private long lastEventId;
    private BufferedResponse failedResponse;
    private boolean ended;

    RelayedRequest(
            RelayContext context,
            CallerExchange exchange,
            RequestMetadata metadata,
            ServingRequest request,
            Optional<AccountId> account,
            long configVersion) {
        this.context = context;
        this.exchange = exchange;
        this.request = request;
        this.account = account;
        this.configVersion = configVersion;
        this.lastEventId = metadata.lastEventId().orElse(Long.MIN_VALUE);
    }

    void start() {
        exchange.setDisconnectListener(this::onCallerDisconnected);
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
        placeAndSend();
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

    boolean isEnded() {
        return ended || exchange.isEnded();
    }

    /** Places the request and sends an attempt; called for the first attempt and for each retry. */
    private void placeAndSend() {
        if (isEnded()) {
            return;
        }
        long now = nowMillis();
        PlacementQuery query =
                new PlacementQuery(request, context.domain(), excluded, prefillAttempts < MAXIMUM_PREFILL_ATTEMPTS);
        Optional<Placement> found = context.placer().place(query, now);
        if (found.isEmpty()) {
            waitForUpstream(now);
            return;
        }
        Placement placement = found.get();
        long excess = Admission.excessMillis(request, placement.firstResponseMillis(), now);
        if (runAttempts == 0 && prefillAttempts == 0 && excess > 0) {
            refuse("the first answer would come " + excess + " ms too late", excess);
            return;
        }
        if (placement.prefillEngine().isPresent()) {
            send(UpstreamAttempt.prefill(this, placement));
        } else {
            send(UpstreamAttempt.run(this, placement, Optional.empty()));
        }
    }

    private void waitForUpstream(long now) {
        long waitUntil = request.arrivedAtMillis() + request.route().targetLatencyMillis() / UPSTREAM_WAIT_DIVISOR;
        if (possibleRuns > 0) {
            waitUntil = request.deadlineMillis();
        }
        if (now + PLACEMENT_RETRY_MILLIS <= waitUntil) {
            schedule(this::placeAndSend, PLACEMENT_RETRY_MILLIS);
        } else {
            endWithoutSuccess("no upstream takes the request");
        }
    }

    private void send(UpstreamAttempt next) {
        attempt = next;
        boolean isRetry = next.isPrefill() ? prefillAttempts > 0 : runAttempts > 0;
        if (isRetry
                && !context.retryBudgets()
                        .of(request.service())
                        .tryRetry(context.nodeCount().getAsInt(), nowMillis())) {
            attempt = null;
            next.discard();
            endWithoutSuccess("the allowance for repeated sends is spent");
            return;
        }
        next.open();
    }

    /** Counts an attempt whose bytes are about to be sent to its upstream. */
    void onSending(UpstreamAttempt sending) {
        if (sending.isPrefill()) {
            prefillAttempts++;
        } else {
            runAttempts++;
        }
    }

    AttemptDirectives directives(UpstreamAttempt sending) {
        OptionalLong resumeAfter = lastEventId == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(lastEventId);
        Placement placement = sending.placement();
        return new AttemptDirectives(
                sending.upstream().id(),
                account,
                Math.max(1, request.deadlineMillis() - nowMillis() - DEADLINE_MARGIN_MILLIS),
                sending.isPrefill(),
                sending.kvSource(),
                sending.kvSource().isPresent()
                        ? Optional.empty()
                        : placement.fetchFrom().map(engine -> engine.entry().address()),
                sending.isPrefill() ? OptionalLong.empty() : resumeAfter,
                request.priority());
    }

    /** Continues after a separate engine has done the prefill. */
    void onPrefilled(UpstreamAttempt prefill, String kvHandle) {
        attempt = null;
        String source = prefill.upstream().entry().address() + "/" + kvHandle;
        UpstreamAttempt running = UpstreamAttempt.run(this, prefill.placement(), Optional.of(source));
        if (isEnded()) {
            running.discard();
        } else {
            send(running);
        }
    }

    /** Continues after an attempt that did not run the request. */
    void onNotExecuted(UpstreamAttempt failed) {
        attempt = null;
        excluded.add(failed.upstream().id());
        if (failed.kvSource().isPresent()) {
            // The cause may be that the KV cache could not be fetched, so its prefill engine is excluded too.
            failed.placement().prefillEngine().ifPresent(prefillEngine -> excluded.add(prefillEngine.id()));
        }
        placeAndSend();
    }

    /** Continues after an attempt that may have run the request and brought no complete response. */
    void onAttemptLost(UpstreamAttempt lost, String reason) {
        attempt = null;
        excluded.add(lost.upstream().id());
        if (lost.isPrefill()) {
            placeAndSend();
            return;
        }
        possibleRuns++;
        context.crashDetector()
                .onConnectionLost(request.fingerprint(), lost.upstream().id(), lost.sentAtMillis(), nowMillis());
        if (mayRetry()) {
            placeAndSend();
        } else {
            endWithoutSuccess(reason);
        }
    }

    private boolean mayRetry() {
        return request.route().isRetryable()
                && possibleRuns < request.route().maximumAttempts()
                && context.quarantine().verdict(request.fingerprint(), nowMillis()) != Quarantine.Verdict.REFUSED;
    }

    /** Returns whether another upstream may be tried in place of one that is unresponsive. */
    boolean hasAlternative(UpstreamAttempt unresponsive) {
        return unresponsive.isPrefill()
                || (request.route().isRetryable()
                        && possibleRuns + 1 < request.route().maximumAttempts());
    }

    /** Handles a complete response that is not a stream. */
    void onResponse(UpstreamAttempt completed, BufferedResponse response) {
        attempt = null;
        countUsage();
        possibleRuns++;
        boolean failed = response.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        if (failed && !exchange.isStreaming() && mayRetry()) {
            failedResponse = response;
            excluded.add(completed.upstream().id());
            placeAndSend();
            return;
        }
        if (exchange.isStreaming()) {
            end("broken", "the resumed stream failed with " + response.status().code());
            exchange.abort();
            return;
        }
        end(
                failed ? "failed-upstream" : "answered",
                "status " + response.status().code());
        exchange.respond(response.status(), response.headers(), response.content());
    }

    /** Passes on a complete event of a stream; events that the caller already has are skipped. */
    void onEvent(HttpResponseStatus status, HttpHeaders headers, SseEventSplitter.Event event) {
        if (event.id().isPresent()) {
            if (event.id().getAsLong() <= lastEventId) {
                return;
            }
            lastEventId = event.id().getAsLong();
        }
        if (!exchange.isStreaming()) {
            countUsage();
            context.metrics().onFirstAnswer(request.route().kind().name(), nowMillis() - request.arrivedAtMillis());
            exchange.startStream(status, headers);
        }
        exchange.send(event.bytes());
    }

    void onStreamEnd(HttpResponseStatus status, HttpHeaders headers) {
        attempt = null;
        countUsage();
        exchange.startStream(status, headers);
        end("answered", "stream complete");
        exchange.endStream();
    }

    private void countUsage() {
        if (!usageCounted && account.isPresent()) {
            usageCounted = true;
            context.startedRequests().add(account.get());
        }
    }

    private void onDeadline() {
        if (isEnded()) {
            return;
        }
        UpstreamAttempt running = attempt;
        attempt = null;
        boolean mayRun = running != null && !running.isPrefill() && running.wasSent();
        if (running != null) {
            running.abandon("deadline");
        }
        if (mayRun) {
            possibleRuns++;
        }
        endWithoutSuccess("the deadline is reached");
    }

    /** Ends the request without success; states that it was not run only if no upstream may have run it. */
    private void endWithoutSuccess(String reason) {
        if (exchange.isStreaming()) {
            end("broken", reason);
            exchange.abort();
        } else if (failedResponse != null) {
            end("failed-upstream", reason);
            exchange.respond(failedResponse.status(), failedResponse.headers(), failedResponse.content());
        } else if (possibleRuns == 0) {
            refuse(reason, request.route().targetLatencyMillis());
        } else {
            boolean late = nowMillis() + 2 * DEADLINE_MARGIN_MILLIS >= request.deadlineMillis();
            HttpResponseStatus status = late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY;
            end("unknown", reason);
            exchange.respond(status, textHeaders(), (reason + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    private void refuse(String reason, long excessMillis) {
        long remaining = Math.max(0, request.deadlineMillis() - nowMillis());
        long waitMillis = RetryAfterPolicy.waitMillis(excessMillis, remaining, context.random());
        HttpHeaders headers = textHeaders();
        context.codec().writeRetryAfter(headers, waitMillis);
        end("refused", reason + "; back after " + waitMillis + " ms");
        exchange.respond(
                HttpResponseStatus.SERVICE_UNAVAILABLE, headers, (reason + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static HttpHeaders textHeaders() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        return headers;
    }

    private void end(String outcome, String reason) {
        ended = true;
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
                .with("sends", runAttempts)
                .with("runs", possibleRuns)
                .with("tookMillis", tookMillis)
                .write();
    }

    private void onCallerDisconnected() {
        if (ended) {
            return;
        }
        UpstreamAttempt running = attempt;
        attempt = null;
        end("caller-gone", "the caller closed its connection");
        if (running != null) {
            running.abandon("caller gone");
        }
    }
}
