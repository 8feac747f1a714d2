package org.cactusshift.internal.transport.gateway;

import io.opentelemetry.api.trace.Span;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.cactusshift.internal.coordination.claim.CallOutcome;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd.Outcome;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision.Dispatch;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.DispatchTicket;
import org.cactusshift.internal.coordination.usage.UsageRecord;
import org.cactusshift.internal.transport.http.HttpClientExchange;
import org.cactusshift.internal.transport.http.HttpExchangeException;

/** Runs one call of a plain service: sends its attempts and the response. Used by one thread. */
final class ServiceCall {
    /**
     * Responses of this size or more are streamed to the caller, and recorded without their body. Smaller ones are sent
     * when complete, and recorded with their body for later calls with the same idempotency key.
     */
    private static final int STREAMING_THRESHOLD_BYTES = 64 * 1024;

    private static final int READ_BYTES = 8192;

    private final GatewayRequest request;
    private final DispatchRequest dispatchRequest;
    private final DispatchTicket ticket;
    private final Caller caller;
    private final ServicePath path;
    private final CallClaimHandle claim;
    private final RequestMonitor monitor;
    private final DecisionWaiter waiter;
    private boolean mayHaveRun;

    ServiceCall(
            GatewayRequest request,
            DispatchRequest dispatchRequest,
            DispatchTicket ticket,
            Caller caller,
            ServicePath path,
            CallClaimHandle claim,
            RequestMonitor monitor) {
        this.request = request;
        this.dispatchRequest = dispatchRequest;
        this.ticket = ticket;
        this.caller = caller;
        this.path = path;
        this.claim = claim;
        this.monitor = monitor;
        this.waiter = new DecisionWaiter(request, ticket, monitor);
    }

    void run() throws HttpException, IOException {
        boolean responded = false;
        while (!responded) {
            Either<Refusal, Dispatch> decision = waiter.await(mayHaveRun);
            if (decision.isLeft()) {
                refuse(decision.getLeft());
                return;
            }
            Dispatch dispatch = decision.get();
            if (mayHaveRun && !dispatchRequest.repeatable()) {
                // The dispatcher does not retry such a call; checked here too, as a second run could do harm.
                report(dispatch, Outcome.CANCELLED);
                refuse(Refusal.upstreamLost("the upstream was lost after the call was sent"));
                return;
            }
            responded = tryAttempt(dispatch);
        }
    }

    private void refuse(Refusal refusal) throws HttpException, IOException {
        claim.endForRefusal(refusal.mayHaveRun());
        request.refuse(refusal);
    }

    /** Makes one attempt; returns whether the call has been responded to, so that no attempt follows. */
    private boolean tryAttempt(Dispatch dispatch) throws HttpException, IOException {
        Optional<String> address = waiter.addressOf(dispatch.upstream());
        if (address.isEmpty()) {
            report(dispatch, Outcome.NOT_SENT);
            return false;
        }
        if (!dispatchRequest.repeatable()) {
            monitor.endOnlyAtDeadline();
        }
        monitor.setSilentAttemptReplacer(
                () -> ticket.replaceSilent(dispatch.attempt(), new AttemptEnd(Outcome.SILENT, 0, 0)));
        Span span = RequestTracing.startAttempt(
                request.dependencies().tracer(), request.span(), dispatch.attempt(), dispatch.upstream());
        try {
            return sendAttempt(dispatch, address.get(), span);
        } finally {
            // Without recording, startAttempt returned the span of the request, which is ended elsewhere.
            if (span != request.span()) {
                span.end();
            }
        }
    }

    private boolean sendAttempt(Dispatch dispatch, String address, Span span) throws HttpException, IOException {
        Either<HttpExchangeException, HttpClientExchange> sent =
                request.dependencies().connectionPool().send(address, upstreamRequest(dispatch, span), monitor);
        if (sent.isLeft()) {
            return onAttemptFailed(dispatch, EngineAttempt.outcomeOf(sent.getLeft()));
        }
        try (HttpClientExchange exchange = sent.get()) {
            return handleResponse(dispatch, exchange);
        }
    }

    private ClassicHttpRequest upstreamRequest(Dispatch dispatch, Span span) {
        String method = request.exchange().method();
        ClassicHttpRequest upstreamRequest = new BasicClassicHttpRequest(
                method, path.target(request.exchange().query()));
        GatewayHeaders.forUpstream(request.exchange().request()).forEach(upstreamRequest::addHeader);
        upstreamRequest.setHeader(GatewayHeaders.REQUEST_ID, dispatch.attempt().value());
        upstreamRequest.setHeader(GatewayHeaders.TRACEPARENT, RequestTracing.traceparent(span));
        byte[] body = request.exchange().body();
        boolean hasEntity = body.length > 0 || request.exchange().request().getEntity() != null;
        if (hasEntity) {
            upstreamRequest.setEntity(new ByteArrayEntity(body, null));
        }
        return upstreamRequest;
    }

    private boolean handleResponse(Dispatch dispatch, HttpClientExchange exchange) throws HttpException, IOException {
        byte[] buffered;
        boolean isComplete;
        try {
            buffered = readBuffered(exchange);
            isComplete = buffered.length < STREAMING_THRESHOLD_BYTES;
        } catch (HttpExchangeException e) {
            return onAttemptFailed(dispatch, EngineAttempt.outcomeOf(e));
        }
        if (exchange.status() == 503 && exchange.header(GatewayHeaders.NOT_RUN).isPresent()) {
            return onAttemptFailed(dispatch, Outcome.NOT_RUN);
        }
        mayHaveRun = true;
        String contentType = exchange.header(HttpHeaders.CONTENT_TYPE).orElse("");
        claim.recordOutcome(new CallOutcome(exchange.status(), contentType, isComplete ? buffered : new byte[0], true));
        if (isComplete) {
            complete(dispatch);
            send(exchange, buffered.length == 0 ? Optional.empty() : Optional.of(new ByteArrayEntity(buffered, null)));
        } else {
            stream(dispatch, exchange, buffered);
        }
        return true;
    }

    private static byte[] readBuffered(HttpClientExchange exchange) throws HttpExchangeException {
        ByteArrayOutputStream buffered = new ByteArrayOutputStream();
        byte[] buffer = new byte[READ_BYTES];
        int count = exchange.read(buffer);
        while (count >= 0) {
            buffered.write(buffer, 0, count);
            if (buffered.size() >= STREAMING_THRESHOLD_BYTES) {
                break;
            }
            count = exchange.read(buffer);
        }
        return buffered.toByteArray();
    }

    private void stream(Dispatch dispatch, HttpClientExchange exchange, byte[] buffered)
            throws HttpException, IOException {
        long length = exchange.header(HttpHeaders.CONTENT_LENGTH)
                .map(ServiceCall::parseLength)
                .orElse(-1L);
        boolean delivered = false;
        monitor.onResponseStarted();
        // No other attempt can go on with a response that the caller has in part.
        monitor.setSilentAttemptReplacer(() -> false);
        try {
            send(exchange, Optional.of(new EntityTemplate(length, null, null, out -> copy(buffered, exchange, out))));
            delivered = true;
        } finally {
            if (delivered) {
                complete(dispatch);
            } else {
                // The response is truncated; the caller detects it by the missing end of the body.
                exchange.abort();
                report(dispatch, monitor.reason().isPresent() ? Outcome.CANCELLED : Outcome.CRASHED);
            }
        }
    }

    private static long parseLength(String text) {
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static void copy(byte[] buffered, HttpClientExchange exchange, OutputStream out) throws IOException {
        out.write(buffered);
        byte[] buffer = new byte[READ_BYTES];
        int count = exchange.read(buffer);
        while (count >= 0) {
            out.write(buffer, 0, count);
            out.flush();
            count = exchange.read(buffer);
        }
    }

    private void send(HttpClientExchange exchange, Optional<HttpEntity> entity) throws HttpException, IOException {
        ClassicHttpResponse response = new BasicClassicHttpResponse(exchange.status());
        GatewayHeaders.forCaller(exchange.response()).forEach(response::addHeader);
        entity.ifPresent(response::setEntity);
        if (exchange.status() < 500) {
            request.respond(response);
            return;
        }
        if (exchange.status() == 503 && !response.containsHeader(HttpHeaders.RETRY_AFTER)) {
            // One second, as for refusals.
            response.setHeader(HttpHeaders.RETRY_AFTER, "1");
        }
        request.passUpstreamError(response);
    }

    private void complete(Dispatch dispatch) {
        report(dispatch, Outcome.COMPLETED);
        if (caller.isBilled()) {
            UsageRecord usage =
                    new UsageRecord(caller.account(), dispatchRequest.service(), dispatch.attempt(), 0, 0, 1);
            request.dependencies()
                    .usageRecorder()
                    .record(usage, request.dependencies().wallClock().millis());
        }
    }

    /**
     * Handles the end of an attempt without a usable response; returns whether the call has been refused, so that no
     * attempt follows.
     */
    private boolean onAttemptFailed(Dispatch dispatch, Outcome outcome) throws HttpException, IOException {
        mayHaveRun |= outcome != Outcome.NOT_RUN && outcome != Outcome.NOT_SENT;
        report(dispatch, outcome);
        if (outcome == Outcome.CANCELLED) {
            refuse(monitor.refusal(mayHaveRun));
            return true;
        }
        return false;
    }

    private void report(Dispatch dispatch, Outcome outcome) {
        request.dependencies().metrics().recordAttemptEnd(dispatchRequest.service(), outcome.name());
        ticket.onAttemptEnd(dispatch.attempt(), new AttemptEnd(outcome, 0, 0));
    }
}
