package org.cactusshift.internal.transport.gateway;

import java.util.Optional;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.claim.CallClaim;
import org.cactusshift.internal.coordination.claim.CallOutcome;
import org.cactusshift.internal.coordination.claim.ClaimResult;
import org.cactusshift.internal.protocol.openai.ApiError;

/**
 * The claim of a non-repeatable call: acquired before the call is dispatched, then ended once by its outcome or a
 * withdrawal. Does nothing for a call without claim.
 */
final class CallClaimHandle {
    private final GatewayDependencies dependencies;
    private final Optional<CallClaim> claim;

    private CallClaimHandle(GatewayDependencies dependencies, Optional<CallClaim> claim) {
        this.dependencies = dependencies;
        this.claim = claim;
    }

    static CallClaimHandle none(GatewayDependencies dependencies) {
        return new CallClaimHandle(dependencies, Optional.empty());
    }

    static CallClaimHandle of(GatewayRequest request, Caller caller, ServicePath path, String idempotencyKey) {
        CallClaim claim = new CallClaim(
                caller.account(),
                ServiceId.fromString(path.service()),
                idempotencyKey,
                Fingerprints.callDigestHex(
                        request.exchange().method(),
                        path.target(request.exchange().query()),
                        request.exchange().body()),
                // No attempt exists before dispatch; the id of the request identifies the claim.
                AttemptId.fromString(request.id().value()));
        return new CallClaimHandle(request.dependencies(), Optional.of(claim));
    }

    /** Claims the call; blocks until the claim is durable or refused. */
    ClaimResult acquire(long deadlineMillis) {
        return claim.map(callClaim -> dependencies.claimRegistry().claim(callClaim, nowMillis(), deadlineMillis))
                .orElse(ClaimResult.of(ClaimResult.Verdict.GRANTED));
    }

    void recordOutcome(CallOutcome outcome) {
        claim.ifPresent(callClaim -> dependencies.claimRegistry().recordOutcome(callClaim, outcome, nowMillis()));
    }

    /**
     * Ends the claim of a refused call: withdraws it if the call certainly didn't run, else records that its outcome is
     * unknown.
     */
    void endForRefusal(boolean mayHaveRun) {
        if (mayHaveRun) {
            recordOutcome(CallOutcome.UNKNOWN);
        } else {
            claim.ifPresent(callClaim -> dependencies.claimRegistry().withdraw(callClaim, nowMillis()));
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
            // REPEATED without a known outcome; GRANTED is never passed.
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
