package org.cactusshift.internal.coordination.usage;

import io.vavr.control.Either;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;

/** Sends usage batches to the holders of usage shards on other nodes. */
public interface UsageBatchSender {
    /**
     * Sends a batch to the holder of its shard; blocks for a bounded time.
     *
     * @param holder the holder as last read
     * @param batch the batch
     * @return the acknowledgement, or the failure
     */
    Either<Failure, UsageAck> send(DutyHolder holder, UsageBatch batch);
}
