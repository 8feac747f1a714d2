package org.cactusshift.internal.coordination.claim;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;

/** A client that can reach no holder. */
final class NoPeers implements ClaimHolderClient {
    @Override
    public Either<Failure, ClaimResponse> claim(DutyHolder holder, ClaimRequest request, long timeoutMillis) {
        return Either.left(Failure.noEffect("claim", holder.peerAddress(), "unreachable"));
    }

    @Override
    public Either<Failure, RecordOutcomeResponse> sendResolutions(
            DutyHolder holder, RecordOutcomeRequest request, long timeoutMillis) {
        return Either.left(Failure.noEffect("record outcome", holder.peerAddress(), "unreachable"));
    }
}
