package org.cactusshift.internal.coordination.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cactusshift.id.InstanceId;

/**
 * Ranks instances by rendezvous hashing, so that all nodes with the same membership view select the same instances and
 * a membership change affects few selections. {@code RendezvousHash} ranks nodes for duties, by another hash.
 */
public final class RendezvousRanking {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousRanking() {}

    /**
     * Ranks the instances for a purpose.
     *
     * @param purpose a text that is hashed with each instance, so that the rankings for different purposes are
     *     independent
     * @param instances the instances
     * @return the instances, first choice first
     */
    public static List<InstanceId> rank(String purpose, Collection<InstanceId> instances) {
        Comparator<InstanceId> byScore = Comparator.comparingLong(id -> score(purpose, id));
        return instances.stream()
                .sorted(byScore.reversed().thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long score(String purpose, InstanceId id) {
        long hash = FNV_OFFSET;
        for (byte b : (purpose + "/" + id).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        // The first steps of the 64-bit finalizer of MurmurHash3.
        hash ^= hash >>> 33;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        return hash;
    }
}
