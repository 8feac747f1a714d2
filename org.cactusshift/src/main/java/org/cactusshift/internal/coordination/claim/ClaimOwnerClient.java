package org.cactusshift.internal.coordination.claim;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;

/** Calls the owners of claim shards on other nodes. */
public interface ClaimOwnerClient {
    /**
     * Claims calls at their owner.
     *
     * @param owner the owner as last known
     * @param request the claims
     * @param timeoutMillis the time within which the answer is wanted
     * @return the answer, or the failure
     */
    Either<Failure, ClaimResponse> claim(DutyHolder owner, ClaimRequest request, long timeoutMillis);

    /**
     * Settles claims at their owner. A settlement without outcome withdraws the claim: its call was not sent.
     *
     * @param owner the owner as last known
     * @param request the settlements, all of one shard
     * @param timeoutMillis the time within which the answer is wanted
     * @return the answer, or the failure
     */
    Either<Failure, RecordOutcomeResponse> recordOutcome(
            DutyHolder owner, RecordOutcomeRequest request, long timeoutMillis);
}
