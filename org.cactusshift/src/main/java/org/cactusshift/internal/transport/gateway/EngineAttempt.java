package org.cactusshift.internal.transport.gateway;

import io.opentelemetry.api.trace.Span;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.cactusshift.id.AttemptId;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd.Outcome;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision.Dispatch;
import org.cactusshift.internal.protocol.openai.CompletionChunk;
import org.cactusshift.internal.protocol.openai.CompletionRequest;
import org.cactusshift.internal.protocol.openai.SseParser;
import org.cactusshift.internal.protocol.openai.TokenUsage;
import org.cactusshift.internal.transport.http.HttpClientExchange;
import org.cactusshift.internal.transport.http.HttpExchangeException;
import org.cactusshift.internal.transport.http.ResponseNeededCheck;

/** One attempt of a completion on one engine: its connection, its event stream and the output that it delivered. */
final class EngineAttempt {
    private static final int READ_BUFFER_BYTES = 8192;
    /** The maximum body of a response that starts no event stream; with a larger one the attempt counts as crashed. */
    private static final int MAXIMUM_ERROR_BODY_BYTES = 64 * 1024;

    /** The error code by which an engine says that it refused the request before running it. */
    static final String NOT_ADMITTED_CODE = "not_admitted";

    private final AttemptId id;
    private final CompletionRequest.Kind kind;
    private final Span span;
    private final HttpClientExchange exchange;
    private final SseParser parser = new SseParser();
    private final byte[] buffer = new byte[READ_BUFFER_BYTES];
    private long deliveredChars;
    private long reportedProgressTokens;
    private Optional<TokenUsage> usage = Optional.empty();

    private EngineAttempt(Dispatch dispatch, CompletionRequest.Kind kind, Span span, HttpClientExchange exchange) {
        this.id = dispatch.attempt();
        this.kind = kind;
        this.span = span;
        this.exchange = exchange;
    }

    /**
     * An attempt that ended before its stream started.
     *
     * @param outcome the outcome
     * @param rejectionResponse the engine's response with a status from 400 to 499; empty for any other end
     */
    record FailedOpen(Outcome outcome, Optional<UpstreamResponse> rejectionResponse) {
        static FailedOpen of(Outcome outcome) {
            return new FailedOpen(outcome, Optional.empty());
        }
    }

    /**
     * Sends the request to an engine and waits until the response stream starts; returns how the attempt ended if it
     * doesn't start.
     */
    static Either<FailedOpen, EngineAttempt> open(
            GatewayRequest request,
            CompletionRequest.Kind kind,
            Dispatch dispatch,
            String address,
            byte[] body,
            ResponseNeededCheck responseNeededCheck) {
        Span span = RequestTracing.startAttempt(
                request.dependencies().tracer(), request.span(), dispatch.attempt(), dispatch.upstream());
        ClassicHttpRequest upstreamRequest = new BasicClassicHttpRequest("POST", kind.path());
        upstreamRequest.setHeader(GatewayHeaders.REQUEST_ID, dispatch.attempt().value());
        upstreamRequest.setHeader(GatewayHeaders.TRACEPARENT, RequestTracing.traceparent(span));
        upstreamRequest.setHeader(HttpHeaders.ACCEPT, "text/event-stream");
        upstreamRequest.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
        Either<FailedOpen, EngineAttempt> opened = request.dependencies()
                .connectionPool()
                .send(address, upstreamRequest, responseNeededCheck)
                .mapLeft(failure -> FailedOpen.of(outcomeOf(failure)))
                .flatMap(exchange -> checkResponse(new EngineAttempt(dispatch, kind, span, exchange)));
        opened.peekLeft(failedOpen -> endSpan(span, request.span(), failedOpen.outcome()));
        return opened;
    }

    /** Returns the attempt if its event stream has started, or how it ended. */
    private static Either<FailedOpen, EngineAttempt> checkResponse(EngineAttempt attempt) {
        HttpClientExchange exchange = attempt.exchange;
        if (exchange.status() == 200 && isEventStream(exchange)) {
            return Either.right(attempt);
        }
        FailedOpen failedOpen = failedOpenOf(exchange);
        exchange.close();
        return Either.left(failedOpen);
    }

    private static boolean isEventStream(HttpClientExchange exchange) {
        return exchange.header(HttpHeaders.CONTENT_TYPE).orElse("").startsWith("text/event-stream");
    }

    private static FailedOpen failedOpenOf(HttpClientExchange exchange) {
        try {
            byte[] body = exchange.readAll(MAXIMUM_ERROR_BODY_BYTES);
            int status = exchange.status();
            if (isNotAdmitted(status, body)) {
                return FailedOpen.of(Outcome.NOT_RUN);
            }
            if (status >= 400 && status < 500) {
                // The engine's final response; COMPLETED keeps the dispatcher from retrying.
                return new FailedOpen(Outcome.COMPLETED, Optional.of(UpstreamResponse.of(exchange, body)));
            }
            // Any other response counts as a crash, also one with status 200 but without an event stream.
            return FailedOpen.of(Outcome.CRASHED);
        } catch (HttpExchangeException e) {
            return FailedOpen.of(outcomeOf(e));
        }
    }

    /** Returns whether a response says that the engine refused the request before running it. */
    static boolean isNotAdmitted(int status, byte[] body) {
        // An error has the same form for every kind of completion.
        return status == 503
                && CompletionChunk.parse(CompletionRequest.Kind.CHAT, new String(body, StandardCharsets.UTF_8))
                        .flatMap(CompletionChunk::errorCode)
                        .filter(NOT_ADMITTED_CODE::equals)
                        .isPresent();
    }

    static Outcome outcomeOf(HttpExchangeException failure) {
        return switch (failure.reason()) {
            case NOT_SENT -> Outcome.NOT_SENT;
            case CLOSED -> Outcome.CRASHED;
            // An upstream that has not responded to this attempt.
            case SILENT, UNMATCHED -> Outcome.SILENT;
            case ABANDONED -> Outcome.CANCELLED;
        };
    }

    AttemptId id() {
        return id;
    }

    /**
     * Returns the data of the next event, or null when the engine closed the stream or sent an event that is too large.
     */
    String nextEvent() throws HttpExchangeException {
        String event = parser.poll();
        while (event == null) {
            int count = exchange.read(buffer);
            if (count < 0 || !parser.feed(buffer, count)) {
                return null;
            }
            event = parser.poll();
        }
        return event;
    }

    /** Reads the rest of the response, so that the connection can be reused, and ends the attempt as completed. */
    void finish(Span parent) {
        try {
            int count = exchange.read(buffer);
            while (count >= 0) {
                count = exchange.read(buffer);
            }
        } catch (HttpExchangeException e) {
            exchange.abort();
        }
        end(parent, Outcome.COMPLETED);
    }

    /** Aborts the attempt; closing the connection cancels the request at the engine. */
    void abort(Span parent, Outcome outcome) {
        exchange.abort();
        end(parent, outcome);
    }

    private void end(Span parent, Outcome outcome) {
        exchange.close();
        endSpan(span, parent, outcome);
    }

    private static void endSpan(Span span, Span parent, Outcome outcome) {
        // Without recording, RequestTracing.startAttempt returned the span of the request, which is ended elsewhere.
        if (span != parent) {
            span.setAttribute("cactusshift.outcome", outcome.name());
            span.end();
        }
    }

    void recordUsage(TokenUsage reported) {
        usage = Optional.of(reported);
    }

    /** Returns the usage that the engine has reported so far. */
    Optional<TokenUsage> usage() {
        return usage;
    }

    /**
     * Records text that was delivered to the caller or into a non-streamed response; returns by how many tokens the
     * output has grown.
     */
    int recordDelivered(int chars) {
        deliveredChars += chars;
        long tokens = deliveredTokens();
        int growth = (int) Math.max(0, tokens - reportedProgressTokens);
        reportedProgressTokens += growth;
        return growth;
    }

    /** Returns the output tokens that this attempt delivered: the engine's count, else an estimate. */
    long deliveredTokens() {
        return usage.map(TokenUsage::completionTokens).orElse(TokenUsage.estimateTokens(deliveredChars));
    }

    CompletionRequest.Kind kind() {
        return kind;
    }
}
