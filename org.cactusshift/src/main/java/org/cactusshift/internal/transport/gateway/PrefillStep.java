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
import org.cactusshift.internal.transport.http.CancellationCheck;
import org.cactusshift.internal.transport.http.UpstreamException;
import org.cactusshift.internal.transport.http.UpstreamExchange;

/** The processing of a prompt by one engine on behalf of another. Its failure costs time only. */
final class PrefillStep {
    private static final String ATTEMPT_SUFFIX = "-prefill";
    private static final int MAXIMUM_ANSWER_BYTES = 1024 * 1024;

    private final GatewayRequest request;
    private final CompletionRequest.Kind kind;
    private final Dispatch dispatch;
    private final AttemptId attempt;
    private final CancellationCheck observer;
    private boolean mayHaveRun;

    PrefillStep(GatewayRequest request, CompletionRequest.Kind kind, Dispatch dispatch, CancellationCheck observer) {
        this.request = request;
        this.kind = kind;
        this.dispatch = dispatch;
        this.attempt = AttemptId.fromString(dispatch.attempt().value() + ATTEMPT_SUFFIX);
        this.observer = observer;
    }

    /** Tells whether the engine may have seen the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the body for the engine that generates the answer, or empty when it must process the prompt itself. */
    Optional<byte[]> run(String address, EngineRequest engineRequest) {
        Span span = RequestTracing.startAttempt(
                request.components().tracer(),
                request.span(),
                attempt,
                dispatch.prefill().orElseThrow());
        try {
            Either<UpstreamException, UpstreamExchange> sent =
                    request.components().upstreams().send(address, upstreamRequest(engineRequest, span), observer);
            mayHaveRun = sent.isRight() || sent.getLeft().loss() != UpstreamException.Loss.NOT_SENT;
            return sent.isLeft() ? Optional.empty() : receive(sent.get(), engineRequest);
        } finally {
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

    private Optional<byte[]> receive(UpstreamExchange sent, EngineRequest engineRequest) {
        try (UpstreamExchange exchange = sent) {
            if (!EngineAttempt.isResponseTo(exchange, attempt)) {
                exchange.abort();
                return Optional.empty();
            }
            byte[] answer = exchange.readAll(MAXIMUM_ANSWER_BYTES);
            mayHaveRun = !EngineAttempt.isNotAdmitted(exchange.status(), answer);
            return exchange.status() == 200 ? engineRequest.toDecodeBytes(answer) : Optional.empty();
        } catch (UpstreamException e) {
            return Optional.empty();
        }
    }
}
