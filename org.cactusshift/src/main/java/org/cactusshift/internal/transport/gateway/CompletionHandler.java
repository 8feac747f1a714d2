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

/** Handles requests for completions, streamed and non-streamed. */
final class CompletionHandler {
    private static final ContentType EVENT_STREAM = ContentType.create("text/event-stream");

    private final GatewayDependencies dependencies;
    private final CallerAuthenticator authenticator;

    CompletionHandler(GatewayDependencies dependencies, CallerAuthenticator authenticator) {
        this.dependencies = dependencies;
        this.authenticator = authenticator;
    }

    /** A request whose key, body, model and deadline have been checked. */
    private record CheckedCompletion(
            Caller caller, CompletionRequest completion, ServiceConfig service, Deadline deadline) {}

    void handle(GatewayRequest request, CompletionRequest.Kind kind) throws HttpException, IOException {
        Either<Refusal, CheckedCompletion> checked = check(request, kind);
        if (checked.isLeft()) {
            request.refuse(checked.getLeft());
        } else {
            dispatch(request, checked.get());
        }
    }

    private Either<Refusal, CheckedCompletion> check(GatewayRequest request, CompletionRequest.Kind kind) {
        // A caller without a valid key is refused before its request is parsed, so that it learns nothing about the
        // models. Only if some service is an open route is the body parsed first, to find the service.
        Either<Refusal, Caller> withoutOpenRoutes =
                authenticator.authenticate(request.exchange(), null, request.receivedMillis());
        boolean hasOpenRoutes = request.site().services().stream().anyMatch(ServiceConfig::openRoute);
        if (withoutOpenRoutes.isLeft() && !hasOpenRoutes) {
            return Either.left(withoutOpenRoutes.getLeft());
        }
        Either<ApiError, CompletionRequest> parsed =
                CompletionRequestParser.parse(kind, request.exchange().body());
        if (parsed.isLeft()) {
            return Either.left(withoutOpenRoutes.isLeft() ? withoutOpenRoutes.getLeft() : Refusal.of(parsed.getLeft()));
        }
        CompletionRequest completion = parsed.get();
        Optional<ServiceConfig> service =
                CallerAuthenticator.findService(request.site(), completion.model(), ServiceConfig.Kind.MODEL);
        Either<Refusal, Caller> authenticated = withoutOpenRoutes.isLeft()
                ? authenticator.authenticate(request.exchange(), service.orElse(null), request.receivedMillis())
                : withoutOpenRoutes;
        return authenticated.flatMap(
                caller -> service.filter(model -> CallerAuthenticator.mayCall(request.site(), caller, model))
                        .map(model -> withDeadline(request, caller, completion, model))
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

    private void dispatch(GatewayRequest request, CheckedCompletion checked) throws HttpException, IOException {
        CompletionRequest completion = checked.completion();
        request.setService(checked.service().id().value());
        DispatchRequest dispatchRequest = new DispatchRequest(
                request.id(),
                checked.caller().account(),
                checked.service().id(),
                completion.promptTokens(),
                completion.maximumOutputTokens(),
                completion.prefixHashes(),
                checked.deadline().atMillis(),
                true,
                completion.sharedPartHashes(),
                Fingerprints.crashFingerprint(
                        checked.caller().account(),
                        checked.service().id(),
                        request.exchange().body()));
        Optional<DispatchTicket> ticket = dependencies.dispatch().submit(dispatchRequest);
        if (ticket.isEmpty()) {
            request.refuse(Refusal.unavailable("no_upstream", "the model is not served by this node yet"));
            return;
        }
        RequestMonitor monitor = new RequestMonitor(request, checked.caller(), checked.deadline());
        try (CompletionSource source =
                new CompletionSource(request, completion, dispatchRequest, ticket.get(), checked.caller(), monitor)) {
            if (completion.isStreamed()) {
                sendStreamed(request, completion, source);
            } else {
                sendNonStreamed(request, source);
            }
        }
    }

    private static void sendNonStreamed(GatewayRequest request, CompletionSource source)
            throws HttpException, IOException {
        CompletionItem item = source.next();
        while (item instanceof CompletionItem.Part) {
            item = source.next();
        }
        if (item instanceof CompletionItem.End end) {
            String json = source.assembler().completeResponseJson(end.usage());
            request.respond(HttpResponses.json(HttpStatus.SC_OK, json));
        } else {
            sendFailure(request, item);
        }
    }

    private static void sendFailure(GatewayRequest request, CompletionItem item) throws HttpException, IOException {
        if (item instanceof CompletionItem.Rejected rejected) {
            request.passUpstreamError(rejected.response().toResponse());
        } else if (item instanceof CompletionItem.Refused refused) {
            request.refuse(refused.refusal());
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

    /** Reports a failure inside a stream; the final event is left out, as it would make the answer look complete. */
    private static void endStreamWithError(GatewayRequest request, CompletionItem item, SseWriter events)
            throws IOException {
        Refusal refusal = item instanceof CompletionItem.Refused refused
                ? refused.refusal()
                : Refusal.upstreamLost("the engine refused to go on with the answer");
        request.recordRefusal(refusal);
        events.write(refusal.error().toJson());
    }
}
