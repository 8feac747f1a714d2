package org.cactusshift.internal.transport.gateway;

import java.util.Optional;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.claim.CallClaim;
import org.cactusshift.internal.coordination.claim.CallOutcome;
import org.cactusshift.internal.coordination.claim.ClaimResult;
import org.cactusshift.internal.protocol.openai.ApiError;

/** The claim of one call, or no claim: acquired before dispatch and resolved once. */
final class CallClaimGuard {
    private final GatewayDependencies dependencies;
    private final Optional<CallClaim> claim;

    private CallClaimGuard(GatewayDependencies dependencies, Optional<CallClaim> claim) {
        this.dependencies = dependencies;
        this.claim = claim;
    }

    static CallClaimGuard none(GatewayDependencies dependencies) {
        return new CallClaimGuard(dependencies, Optional.empty());
    }

    static CallClaimGuard of(GatewayRequest request, Caller caller, ServicePath path, String idempotencyKey) {
        CallClaim claim = new CallClaim(
                caller.account(),
                ServiceId.fromString(path.service()),
                idempotencyKey,
                Fingerprints.digestHex(
                        request.exchange().method(),
                        path.target(request.exchange().query()),
                        request.exchange().body()),
                AttemptId.fromString(request.id().value()));
        return new CallClaimGuard(request.dependencies(), Optional.of(claim));
    }

    /** Claims the call; blocks until the claim is durable or refused. */
    ClaimResult acquire(long deadlineMillis) {
        return claim.map(callClaim -> dependencies.claims().claim(callClaim, nowMillis(), deadlineMillis))
                .orElse(ClaimResult.of(ClaimResult.Verdict.GRANTED));
    }

    void record(CallOutcome outcome) {
        claim.ifPresent(callClaim -> dependencies.claims().recordOutcome(callClaim, outcome, nowMillis()));
    }

    /** Resolves the claim of a refused call; releases it only if the call certainly didn't run. */
    void resolveRefused(boolean mayHaveRun) {
        if (mayHaveRun) {
            record(CallOutcome.UNKNOWN);
        } else {
            claim.ifPresent(callClaim -> dependencies.claims().withdraw(callClaim, nowMillis()));
        }
    }

    private long nowMillis() {
        return dependencies.monotonicMillis().getAsLong();
    }

    /** Returns the refusal of a call whose claim was not granted. */
    static Refusal refusalOf(ClaimResult result) {
        return switch (result.verdict()) {
            case BODY_MISMATCH ->
                Refusal.of(ApiError.of(
                        422,
                        ApiError.INVALID_REQUEST,
                        "idempotency_key_reused",
                        "the idempotency key was used for another request"));
            case UNAVAILABLE ->
                Refusal.unavailable("claim_unavailable", "the call can't be claimed now and was not run");
            case GRANTED, REPEATED, OPEN ->
                new Refusal(
                        ApiError.of(
                                409,
                                ApiError.INVALID_REQUEST,
                                "outcome_unknown",
                                "a call with this idempotency key was made and its outcome is not known"),
                        true,
                        0);
        };
    }
}
