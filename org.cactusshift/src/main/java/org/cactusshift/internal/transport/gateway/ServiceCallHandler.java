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

/**
 * Handles calls of plain services: checks them, claims non-repeatable ones that carry an idempotency key, and
 * dispatches them.
 */
final class ServiceCallHandler {
    private static final int MAXIMUM_IDEMPOTENCY_KEY_CHARS = 255;
    private static final String REPLAYED_HEADER = "x-cactusshift-replayed";

    private final GatewayDependencies dependencies;
    private final CallerAuthenticator authenticator;

    ServiceCallHandler(GatewayDependencies dependencies, CallerAuthenticator authenticator) {
        this.dependencies = dependencies;
        this.authenticator = authenticator;
    }

    /** A call whose key, path, service and deadline have been checked. */
    private record CheckedCall(Caller caller, ServiceConfig service, ServicePath path, Deadline deadline) {}

    void handle(GatewayRequest request) throws HttpException, IOException {
        Either<Refusal, CheckedCall> checked = check(request);
        if (checked.isLeft()) {
            request.refuse(checked.getLeft());
            return;
        }
        CheckedCall call = checked.get();
        request.setService(call.service().id().value());
        List<String> headerNames = List.of(request.exchange().request().getHeaders()).stream()
                .map(Header::getName)
                .toList();
        boolean repeatable =
                call.path().isRepeatable(call.service(), request.exchange().method(), headerNames);
        Either<Refusal, CallClaimHandle> claim = prepareClaim(request, call, repeatable);
        if (claim.isLeft()) {
            request.refuse(claim.getLeft());
            return;
        }
        ClaimResult result = claim.get().acquire(call.deadline().atMillis());
        if (result.verdict() == ClaimResult.Verdict.GRANTED) {
            dispatch(request, call, claim.get(), repeatable);
        } else {
            respondFromClaim(request, result);
        }
    }

    private Either<Refusal, CheckedCall> check(GatewayRequest request) {
        Either<Refusal, ServicePath> path = ServicePath.parse(request.exchange().path());
        Optional<ServiceConfig> service = path.toJavaOptional()
                .flatMap(servicePath -> CallerAuthenticator.findService(
                        request.site(), servicePath.service(), ServiceConfig.Kind.PLAIN));
        return authenticator
                .authenticate(request.exchange(), service.orElse(null), request.receivedMillis())
                .flatMap(caller -> path.flatMap(servicePath -> service.filter(
                                config -> CallerAuthenticator.mayCall(request.site(), caller, config))
                        .map(config -> withDeadline(request, caller, config, servicePath))
                        .orElseGet(() -> Either.left(unknownService()))));
    }

    private static Either<Refusal, CheckedCall> withDeadline(
            GatewayRequest request, Caller caller, ServiceConfig service, ServicePath path) {
        long defaultMillis = request.site().timing().requestTimeoutMillis();
        return Deadline.of(request.exchange(), request.receivedMillis(), defaultMillis)
                .map(deadline -> new CheckedCall(caller, service, path, deadline));
    }

    private static Refusal unknownService() {
        return Refusal.of(ApiError.of(
                404, ApiError.INVALID_REQUEST, "service_not_found", "the service does not exist or may not be called"));
    }

    /** Checks the idempotency key; returns the claim to acquire, none if the call is repeatable or has no key. */
    private Either<Refusal, CallClaimHandle> prepareClaim(
            GatewayRequest request, CheckedCall call, boolean repeatable) {
        Optional<String> key = request.exchange().header(GatewayHeaders.IDEMPOTENCY_KEY);
        if (repeatable || key.isEmpty()) {
            return Either.right(CallClaimHandle.none(dependencies));
        }
        boolean single = request.exchange().request().countHeaders(GatewayHeaders.IDEMPOTENCY_KEY) == 1;
        if (!single || key.get().isBlank() || key.get().length() > MAXIMUM_IDEMPOTENCY_KEY_CHARS) {
            return Either.left(Refusal.of(ApiError.badRequest(
                    GatewayHeaders.IDEMPOTENCY_KEY,
                    "the idempotency key must be one value of 1 to " + MAXIMUM_IDEMPOTENCY_KEY_CHARS + " characters")));
        }
        return Either.right(CallClaimHandle.of(request, call.caller(), call.path(), key.get()));
    }

    private static void respondFromClaim(GatewayRequest request, ClaimResult result) throws HttpException, IOException {
        Optional<CallOutcome> outcome = result.outcome().filter(CallOutcome::known);
        if (result.verdict() != ClaimResult.Verdict.REPEATED || outcome.isEmpty()) {
            request.refuse(CallClaimHandle.refusalOf(result));
            return;
        }
        CallOutcome recorded = outcome.get();
        ContentType type = recorded.contentType().isEmpty() ? null : ContentType.parseLenient(recorded.contentType());
        ClassicHttpResponse response = HttpResponses.of(recorded.status(), type, recorded.body());
        response.setHeader(REPLAYED_HEADER, "true");
        request.respond(response);
    }

    private void dispatch(GatewayRequest request, CheckedCall call, CallClaimHandle claim, boolean repeatable)
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
                Fingerprints.crashFingerprint(
                        call.caller().account(),
                        call.service().id(),
                        request.exchange().body()));
        Optional<DispatchTicket> ticket = dependencies.dispatch().submit(dispatchRequest);
        if (ticket.isEmpty()) {
            claim.endForRefusal(false);
            request.refuse(Refusal.unavailable("no_upstream", "the service is not served by this node yet"));
            return;
        }
        RequestMonitor monitor = new RequestMonitor(request, call.caller(), call.deadline());
        try (DispatchTicket open = ticket.get()) {
            new ServiceCall(request, dispatchRequest, open, call.caller(), call.path(), claim, monitor).run();
        }
    }
}
