package org.cactusshift.internal.transport.gateway;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.DispatchTicket;
import org.cactusshift.internal.protocol.openai.ApiError;
import org.cactusshift.internal.protocol.openai.CompletionChunk;
import org.cactusshift.internal.protocol.openai.CompletionRequest;
import org.cactusshift.internal.protocol.openai.CompletionRequestParser;
import org.cactusshift.internal.protocol.openai.SseWriter;
import org.cactusshift.internal.protocol.openai.TokenUsage;
import org.cactusshift.internal.transport.http.HttpResponses;

/** Answers requests for completions, streamed and whole. */
final class CompletionHandler {
    private static final ContentType EVENT_STREAM = ContentType.create("text/event-stream");

    private final GatewayDependencies components;
    private final CallerAuthenticator authenticator;

    CompletionHandler(GatewayDependencies components, CallerAuthenticator admission) {
        this.components = components;
        this.authenticator = admission;
    }

    /** What is known of a request once all checks have passed. */
    private record CheckedCompletion(
            Caller caller, CompletionRequest completion, ServiceConfig service, Deadline deadline) {}

    void handle(GatewayRequest request, CompletionRequest.Kind kind) throws HttpException, IOException {
        Either<Refusal, CheckedCompletion> admitted = check(request, kind);
        if (admitted.isLeft()) {
            request.refuse(admitted.getLeft());
        } else {
            dispatch(request, admitted.get());
        }
    }

    private Either<Refusal, CheckedCompletion> check(GatewayRequest request, CompletionRequest.Kind kind) {
        // Who has no valid key learns nothing about the request or the models, but for open routes.
        Either<Refusal, Caller> strict = authenticator.authenticate(request.exchange(), null, request.receivedMillis());
        boolean mayBeOpen = request.site().services().stream().anyMatch(ServiceConfig::openRoute);
        if (strict.isLeft() && !mayBeOpen) {
            return Either.left(strict.getLeft());
        }
        Either<ApiError, CompletionRequest> parsed =
                CompletionRequestParser.parse(kind, request.exchange().body());
        if (parsed.isLeft()) {
            return Either.left(strict.isLeft() ? strict.getLeft() : Refusal.of(parsed.getLeft()));
        }
        CompletionRequest completion = parsed.get();
        Optional<ServiceConfig> service =
                CallerAuthenticator.findService(request.site(), completion.model(), ServiceConfig.Kind.MODEL);
        Either<Refusal, Caller> caller = strict.isLeft()
                ? authenticator.authenticate(request.exchange(), service.orElse(null), request.receivedMillis())
                : strict;
        return caller.flatMap(who -> service.filter(found -> CallerAuthenticator.mayCall(request.site(), who, found))
                .map(found -> withDeadline(request, who, completion, found))
                .orElseGet(() -> Either.left(unknownModel())));
    }

    private static Either<Refusal, CheckedCompletion> withDeadline(
            GatewayRequest request, Caller caller, CompletionRequest completion, ServiceConfig service) {
        long defaultMillis = request.site().timing().requestTimeoutMillis();
        return Deadline.of(request.exchange(), request.receivedMillis(), defaultMillis)
                .map(deadline -> new CheckedCompletion(caller, completion, service, deadline));
    }

    private static Refusal unknownModel() {
        return Refusal.of(new ApiError(
                404,
                "the model does not exist or may not be called",
                ApiError.INVALID_REQUEST,
                "model",
                "model_not_found"));
    }

    private void dispatch(GatewayRequest request, CheckedCompletion admitted) throws HttpException, IOException {
        CompletionRequest completion = admitted.completion();
        request.setService(admitted.service().id().value());
        DispatchRequest dispatchRequest = new DispatchRequest(
                request.id(),
                admitted.caller().account(),
                admitted.service().id(),
                completion.promptTokens(),
                completion.maximumOutputTokens(),
                completion.prefixHashes(),
                admitted.deadline().atMillis(),
                true,
                Fingerprints.of(
                        admitted.caller().account(),
                        admitted.service().id(),
                        request.exchange().body()));
        Optional<DispatchTicket> ticket = components.dispatch().submit(dispatchRequest);
        if (ticket.isEmpty()) {
            request.refuse(Refusal.unavailable("no_upstream", "the model is not served by this node yet"));
            return;
        }
        RequestMonitor watch = new RequestMonitor(request, admitted.caller(), admitted.deadline());
        try (CompletionSource source =
                new CompletionSource(request, completion, dispatchRequest, ticket.get(), admitted.caller(), watch)) {
            if (completion.isStreamed()) {
                sendStreamed(request, completion, source);
            } else {
                sendWhole(request, source);
            }
        }
    }

    private static void sendWhole(GatewayRequest request, CompletionSource source) throws HttpException, IOException {
        CompletionItem item = source.next();
        while (item instanceof CompletionItem.Part) {
            item = source.next();
        }
        if (item instanceof CompletionItem.End end) {
            String json = source.assembler().wholeJson(end.usage());
            request.respond(HttpResponses.json(HttpStatus.SC_OK, json));
        } else {
            sendFailure(request, item);
        }
    }

    private static void sendFailure(GatewayRequest request, CompletionItem item) throws HttpException, IOException {
        if (item instanceof CompletionItem.Rejected rejected) {
            request.passUpstreamError(rejected.response().toResponse());
        } else if (item instanceof CompletionItem.Refused givenUp) {
            request.refuse(givenUp.refusal());
        }
    }

    private static void sendStreamed(GatewayRequest request, CompletionRequest completion, CompletionSource source)
            throws HttpException, IOException {
        CompletionItem first = source.next();
        boolean begins = first instanceof CompletionItem.Part || first instanceof CompletionItem.End;
        if (!begins) {
            sendFailure(request, first);
            return;
        }
        ClassicHttpResponse response = new BasicClassicHttpResponse(HttpStatus.SC_OK);
        response.setHeader(HttpHeaders.CACHE_CONTROL, "no-cache");
        response.setEntity(new EntityTemplate(EVENT_STREAM, out -> stream(request, completion, source, first, out)));
        request.respond(response);
    }

    private static void stream(
            GatewayRequest request,
            CompletionRequest completion,
            CompletionSource source,
            CompletionItem first,
            OutputStream out)
            throws IOException {
        SseWriter events = SseWriter.over(out);
        CompletionItem item = first;
        while (item instanceof CompletionItem.Part part) {
            events.write(source.assembler().chunkJson(part.chunk()));
            item = source.next();
        }
        if (item instanceof CompletionItem.End end) {
            endStream(completion, source, end.usage(), events);
        } else {
            endStreamWithError(request, item, events);
        }
    }

    private static void endStream(
            CompletionRequest completion, CompletionSource source, TokenUsage usage, SseWriter events)
            throws IOException {
        if (completion.isUsageIncluded()) {
            events.write(source.assembler().usageChunkJson(usage));
        }
        events.write(CompletionChunk.DONE);
    }

    /** Tells of a failure inside a stream, without the event that would make the answer look whole. */
    private static void endStreamWithError(GatewayRequest request, CompletionItem item, SseWriter events)
            throws IOException {
        Refusal refusal = item instanceof CompletionItem.Refused givenUp
                ? givenUp.refusal()
                : Refusal.upstreamLost("the engine refused to go on with the answer");
        request.recordRefusal(refusal);
        events.write(refusal.error().toJson());
    }
}
