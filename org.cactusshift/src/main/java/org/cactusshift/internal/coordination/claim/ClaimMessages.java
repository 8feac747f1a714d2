package org.cactusshift.internal.coordination.claim;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.messages.ClaimResult.Verdict;
import org.cactusshift.messages.RecordedOutcome;

/**
 * Converts claims, their resolutions, outcomes and responses to and from the messages between nodes. The message of a
 * resolution is {@link RecordedOutcome}.
 */
final class ClaimMessages {
    private ClaimMessages() {}

    static org.cactusshift.messages.CallClaim toMessage(CallClaim claim) {
        return org.cactusshift.messages.CallClaim.newBuilder()
                .setAccountId(claim.account().value())
                .setServiceId(claim.service().value())
                .setIdempotencyKey(claim.idempotencyKey())
                .setBodyDigest(ByteString.copyFrom(HexFormat.of().parseHex(claim.bodyDigestHex())))
                .setAttemptId(claim.attempt().value())
                .build();
    }

    /** Returns the message that resolves a claim; without an outcome it withdraws the claim. */
    static RecordedOutcome toResolution(CallClaim claim, Optional<CallOutcome> outcome) {
        RecordedOutcome.Builder resolution = RecordedOutcome.newBuilder()
                .setAccountId(claim.account().value())
                .setServiceId(claim.service().value())
                .setIdempotencyKey(claim.idempotencyKey())
                .setAttemptId(claim.attempt().value());
        outcome.map(ClaimMessages::toMessage).ifPresent(resolution::setOutcome);
        return resolution.build();
    }

    static ClaimKey keyOf(org.cactusshift.messages.CallClaim claim) {
        return ClaimKey.of(
                AccountId.fromString(claim.getAccountId()),
                ServiceId.fromString(claim.getServiceId()),
                claim.getIdempotencyKey());
    }

    static ClaimKey keyOf(RecordedOutcome resolution) {
        return ClaimKey.of(
                AccountId.fromString(resolution.getAccountId()),
                ServiceId.fromString(resolution.getServiceId()),
                resolution.getIdempotencyKey());
    }

    static CallOutcome fromMessage(org.cactusshift.messages.CallOutcome outcome) {
        return new CallOutcome(
                outcome.getStatus(), outcome.getContentType(), outcome.getBody().toByteArray(), !outcome.getUnknown());
    }

    /** Converts an outcome; leaves out a body longer than {@link ClaimLogEntry#MAXIMUM_BODY_BYTES}. */
    static org.cactusshift.messages.CallOutcome toMessage(CallOutcome outcome) {
        boolean fits = outcome.body().length <= ClaimLogEntry.MAXIMUM_BODY_BYTES;
        return org.cactusshift.messages.CallOutcome.newBuilder()
                .setStatus(outcome.status())
                .setContentType(outcome.contentType())
                .setBody(fits ? ByteString.copyFrom(outcome.body()) : ByteString.EMPTY)
                .setUnknown(!outcome.known())
                .build();
    }

    static org.cactusshift.messages.ClaimResult toMessage(HolderResponse response) {
        org.cactusshift.messages.ClaimResult.Builder result =
                org.cactusshift.messages.ClaimResult.newBuilder().setVerdict(verdictOf(response.kind()));
        response.outcome().map(ClaimMessages::toMessage).ifPresent(result::setOutcome);
        return result.build();
    }

    static HolderResponse fromMessage(org.cactusshift.messages.ClaimResult result) {
        return switch (result.getVerdict()) {
            case GRANTED -> HolderResponse.of(HolderResponse.Kind.GRANTED);
            case REPEATED ->
                HolderResponse.repeated(
                        result.hasOutcome() ? Optional.of(fromMessage(result.getOutcome())) : Optional.empty());
            case OPEN -> HolderResponse.of(HolderResponse.Kind.OPEN);
            case BODY_MISMATCH -> HolderResponse.of(HolderResponse.Kind.BODY_MISMATCH);
            case UNAVAILABLE -> HolderResponse.of(HolderResponse.Kind.UNAVAILABLE);
            // NOT_OWNER, and any verdict that this version does not know: the claim is sent again.
            default -> HolderResponse.of(HolderResponse.Kind.NOT_OWNER);
        };
    }

    private static Verdict verdictOf(HolderResponse.Kind kind) {
        return switch (kind) {
            case GRANTED -> Verdict.GRANTED;
            case REPEATED -> Verdict.REPEATED;
            case OPEN -> Verdict.OPEN;
            case BODY_MISMATCH -> Verdict.BODY_MISMATCH;
            case UNAVAILABLE -> Verdict.UNAVAILABLE;
            default -> Verdict.NOT_OWNER;
        };
    }
}
