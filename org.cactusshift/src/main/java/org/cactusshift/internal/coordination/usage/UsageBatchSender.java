package org.cactusshift.internal.coordination.usage;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;

/** Hands usage counts to other nodes. */
public interface UsageBatchSender {
    /**
     * Hands a batch to the holder of its shard; blocks for a bounded time.
     *
     * @param holder the holder as last known
     * @param batch the batch
     * @return the acknowledgement, or the failure
     */
    Either<Failure, UsageAck> send(DutyHolder holder, UsageBatch batch);
}
