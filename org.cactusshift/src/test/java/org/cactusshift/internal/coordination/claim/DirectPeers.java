package org.cactusshift.internal.coordination.claim;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;

/** A client that calls one service in the same process as the holder of every shard. */
final class DirectPeers implements ClaimHolderClient {
    private final ClaimService service;

    DirectPeers(ClaimService service) {
        this.service = service;
    }

    @Override
    public Either<Failure, ClaimResponse> claim(DutyHolder holder, ClaimRequest request, long timeoutMillis) {
        return Either.right(service.claim(request));
    }

    @Override
    public Either<Failure, RecordOutcomeResponse> sendResolutions(
            DutyHolder holder, RecordOutcomeRequest request, long timeoutMillis) {
        return Either.right(service.applyResolutions(request));
    }
}
