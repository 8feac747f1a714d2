package org.cactusshift.internal.transport.gateway;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.internal.coordination.claim.CallOutcome;
import org.cactusshift.internal.coordination.claim.ClaimResult;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.DispatchTicket;
import org.cactusshift.internal.protocol.openai.ApiError;
import org.cactusshift.internal.transport.http.HttpResponses;

/** Answers calls of plain services: checks, claims what may run only once, and dispatches. */
final class ServiceCallHandler {
    private static final int MAXIMUM_KEY_CHARS = 255;
    private static final String REPLAYED = "x-cactusshift-replayed";

    private final GatewayDependencies components;
    private final Admission admission;

    ServiceCallHandler(GatewayDependencies components, Admission admission) {
        this.components = components;
        this.admission = admission;
    }

    /** What is known of a call once all checks have passed. */
    private record Admitted(Caller caller, ServiceConfig service, ServicePath path, Deadline deadline) {}

    void handle(GatewayRequest request) throws HttpException, IOException {
        Either<Refusal, Admitted> admitted = admit(request);
        if (admitted.isLeft()) {
            request.refuse(admitted.getLeft());
            return;
        }
        Admitted call = admitted.get();
        request.setService(call.service().id().value());
        List<String> headerNames = List.of(request.exchange().request().getHeaders()).stream()
                .map(Header::getName)
                .toList();
        boolean repeatable =
                call.path().isRepeatable(call.service(), request.exchange().method(), headerNames);
        Either<Refusal, CallClaimGuard> claim = claim(request, call, repeatable);
        if (claim.isLeft()) {
            request.refuse(claim.getLeft());
            return;
        }
        ClaimResult result = claim.get().acquire(call.deadline().atMillis());
        if (result.verdict() == ClaimResult.Verdict.GRANTED) {
            dispatch(request, call, claim.get(), repeatable);
        } else {
            answerClaimed(request, result);
        }
    }

    private Either<Refusal, Admitted> admit(GatewayRequest request) {
        Either<Refusal, ServicePath> path = ServicePath.parse(request.exchange().path());
        Optional<ServiceConfig> service = path.toJavaOptional()
                .flatMap(found -> Admission.service(request.site(), found.service(), ServiceConfig.Kind.PLAIN));
        return admission
                .admit(request.exchange(), service.orElse(null), request.receivedMillis())
                .flatMap(caller -> path.flatMap(
                        found -> service.filter(config -> Admission.mayCall(request.site(), caller, config))
                                .map(config -> withDeadline(request, caller, config, found))
                                .orElseGet(() -> Either.left(unknownService()))));
    }

    private static Either<Refusal, Admitted> withDeadline(
            GatewayRequest request, Caller caller, ServiceConfig service, ServicePath path) {
        long defaultMillis = request.site().timing().requestTimeoutMillis();
        return Deadline.of(request.exchange(), request.receivedMillis(), defaultMillis)
                .map(deadline -> new Admitted(caller, service, path, deadline));
    }

    private static Refusal unknownService() {
        return Refusal.of(ApiError.of(
                404, ApiError.INVALID_REQUEST, "service_not_found", "the service does not exist or may not be called"));
    }

    private Either<Refusal, CallClaimGuard> claim(GatewayRequest request, Admitted call, boolean repeatable) {
        Optional<String> key = request.exchange().header(GatewayHeaders.IDEMPOTENCY_KEY);
        if (repeatable || key.isEmpty()) {
            return Either.right(CallClaimGuard.none(components));
        }
        boolean single = request.exchange().request().countHeaders(GatewayHeaders.IDEMPOTENCY_KEY) == 1;
        if (!single || key.get().isBlank() || key.get().length() > MAXIMUM_KEY_CHARS) {
            return Either.left(Refusal.of(ApiError.badRequest(
                    GatewayHeaders.IDEMPOTENCY_KEY,
                    "the idempotency key must be one value of 1 to " + MAXIMUM_KEY_CHARS + " characters")));
        }
        return Either.right(CallClaimGuard.of(request, call.caller(), call.path(), key.get()));
    }

    private static void answerClaimed(GatewayRequest request, ClaimResult result) throws HttpException, IOException {
        Optional<CallOutcome> outcome = result.outcome().filter(CallOutcome::known);
        if (result.verdict() != ClaimResult.Verdict.REPEATED || outcome.isEmpty()) {
            request.refuse(CallClaimGuard.refusalOf(result));
            return;
        }
        CallOutcome recorded = outcome.get();
        ContentType type = recorded.contentType().isEmpty() ? null : ContentType.parseLenient(recorded.contentType());
        ClassicHttpResponse response = HttpResponses.of(recorded.status(), type, recorded.body());
        response.setHeader(REPLAYED, "true");
        request.answer(response);
    }

    private void dispatch(GatewayRequest request, Admitted call, CallClaimGuard claim, boolean repeatable)
            throws HttpException, IOException {
        DispatchRequest dispatchRequest = new DispatchRequest(
                request.id(),
                call.caller().account(),
                call.service().id(),
                0,
                0,
                List.of(),
                call.deadline().atMillis(),
                repeatable,
                Fingerprints.of(
                        call.caller().account(),
                        call.service().id(),
                        request.exchange().body()));
        Optional<DispatchTicket> ticket = components.dispatch().submit(dispatchRequest);
        if (ticket.isEmpty()) {
            claim.giveUp(false);
            request.refuse(Refusal.unavailable("no_upstream", "the service is not served by this node yet"));
            return;
        }
        RequestWatch watch = new RequestWatch(request, call.caller(), call.deadline());
        try (DispatchTicket open = ticket.get()) {
            new ServiceCall(request, dispatchRequest, open, call.caller(), call.path(), claim, watch).run();
        }
    }
}
