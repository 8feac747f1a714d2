package org.cactusshift.internal.coordination.claim;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;

/** Sends requests to the holders of claim shards on other nodes. */
public interface ClaimHolderClient {
    /**
     * Sends claims to the holder of their shard.
     *
     * @param holder the last known holder
     * @param request the claims
     * @param timeoutMillis the timeout of the request
     * @return the response, or the failure
     */
    Either<Failure, ClaimResponse> claim(DutyHolder holder, ClaimRequest request, long timeoutMillis);

    /**
     * Sends claim resolutions to the holder of their shard. A resolution without outcome withdraws the claim, because
     * its call was not sent.
     *
     * @param holder the last known holder
     * @param request the resolutions, all of one shard
     * @param timeoutMillis the timeout of the request
     * @return the response, or the failure
     */
    Either<Failure, RecordOutcomeResponse> sendResolutions(
            DutyHolder holder, RecordOutcomeRequest request, long timeoutMillis);
}
