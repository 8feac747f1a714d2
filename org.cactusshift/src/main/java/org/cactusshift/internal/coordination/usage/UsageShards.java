package org.cactusshift.internal.coordination.usage;

import java.util.List;
import java.util.stream.IntStream;
import org.cactusshift.id.AccountId;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * Partitions the client accounts into usage shards.
 *
 * @param count the number of shards; must be the same on all nodes of a site and must never change, since duties
 *     and stored records are named by the shard
 */
public record UsageShards(int count) {
    /** Checks that the number is positive. */
    public UsageShards {
        if (count <= 0) {
            throw new IllegalArgumentException("number of usage shards must be positive: " + count);
        }
    }

    /**
     * Returns the shard of a client account.
     *
     * @param account the client account
     * @return the shard number, from 0
     */
    public int shardOf(AccountId account) {
        return (int) Long.remainderUnsigned(RendezvousHash.hash(account.value()), count);
    }

    /**
     * Returns the duties of all usage shards.
     *
     * @return the duties
     */
    public List<DutyId> duties() {
        return IntStream.range(0, count).mapToObj(DutyId::usage).toList();
    }
}
