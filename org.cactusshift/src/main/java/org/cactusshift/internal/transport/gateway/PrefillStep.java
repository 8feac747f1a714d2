package org.cactusshift.internal.transport.gateway;

import io.opentelemetry.api.trace.Span;
import io.vavr.control.Either;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.cactusshift.id.AttemptId;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision.Dispatch;
import org.cactusshift.internal.protocol.openai.CompletionRequest;
import org.cactusshift.internal.protocol.openai.EngineRequest;
import org.cactusshift.internal.transport.http.HttpClientExchange;
import org.cactusshift.internal.transport.http.HttpExchangeException;
import org.cactusshift.internal.transport.http.ResponseNeededCheck;

/**
 * Runs the prefill of a prompt on a prefill engine and derives the request to the decode engine from its response. If
 * it fails, the decode engine processes the prompt itself.
 */
final class PrefillStep {
    private static final String ATTEMPT_SUFFIX = "-prefill";
    private static final int MAXIMUM_RESPONSE_BYTES = 1024 * 1024;

    private final GatewayRequest request;
    private final CompletionRequest.Kind kind;
    private final Dispatch dispatch;
    private final AttemptId attempt;
    private final ResponseNeededCheck responseNeededCheck;
    private boolean mayHaveRun;

    PrefillStep(
            GatewayRequest request,
            CompletionRequest.Kind kind,
            Dispatch dispatch,
            ResponseNeededCheck responseNeededCheck) {
        this.request = request;
        this.kind = kind;
        this.dispatch = dispatch;
        this.attempt = AttemptId.fromString(dispatch.attempt().value() + ATTEMPT_SUFFIX);
        this.responseNeededCheck = responseNeededCheck;
    }

    /** Returns whether the prefill engine may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Runs the prefill; returns the body for the decode engine, or empty when it must process the prompt itself. */
    Optional<byte[]> run(String address, EngineRequest engineRequest) {
        Span span = RequestTracing.startAttempt(
                request.dependencies().tracer(),
                request.span(),
                attempt,
                dispatch.prefill().orElseThrow());
        try {
            Either<HttpExchangeException, HttpClientExchange> sent = request.dependencies()
                    .connectionPool()
                    .send(address, upstreamRequest(engineRequest, span), responseNeededCheck);
            mayHaveRun = sent.isRight() || sent.getLeft().reason() != HttpExchangeException.Reason.NOT_SENT;
            return sent.isLeft() ? Optional.empty() : receive(sent.get(), engineRequest);
        } finally {
            // Without recording, startAttempt returned the span of the request, which is ended elsewhere.
            if (span != request.span()) {
                span.end();
            }
        }
    }

    private ClassicHttpRequest upstreamRequest(EngineRequest engineRequest, Span span) {
        ClassicHttpRequest upstreamRequest = new BasicClassicHttpRequest("POST", kind.path());
        upstreamRequest.setHeader(GatewayHeaders.REQUEST_ID, attempt.value());
        upstreamRequest.setHeader(GatewayHeaders.TRACEPARENT, RequestTracing.traceparent(span));
        upstreamRequest.setEntity(new ByteArrayEntity(engineRequest.toPrefillBytes(), ContentType.APPLICATION_JSON));
        return upstreamRequest;
    }

    private Optional<byte[]> receive(HttpClientExchange sent, EngineRequest engineRequest) {
        try (HttpClientExchange exchange = sent) {
            byte[] response = exchange.readAll(MAXIMUM_RESPONSE_BYTES);
            mayHaveRun = !EngineAttempt.isNotAdmitted(exchange.status(), response);
            return exchange.status() == 200 ? engineRequest.toDecodeBytes(response) : Optional.empty();
        } catch (HttpExchangeException e) {
            return Optional.empty();
        }
    }
}
