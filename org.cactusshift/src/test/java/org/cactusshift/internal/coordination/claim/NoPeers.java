package org.cactusshift.internal.coordination.claim;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;

/** A client that can reach no owner. */
final class NoPeers implements ClaimHolderClient {
    @Override
    public Either<Failure, ClaimResponse> claim(DutyHolder owner, ClaimRequest request, long timeoutMillis) {
        return Either.left(Failure.noEffect("claim", owner.peerAddress(), "unreachable"));
    }

    @Override
    public Either<Failure, RecordOutcomeResponse> recordOutcome(
            DutyHolder owner, RecordOutcomeRequest request, long timeoutMillis) {
        return Either.left(Failure.noEffect("record outcome", owner.peerAddress(), "unreachable"));
    }
}
