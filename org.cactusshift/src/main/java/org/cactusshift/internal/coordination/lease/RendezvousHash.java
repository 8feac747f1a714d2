package org.cactusshift.internal.coordination.lease;

import java.util.Collection;
import org.cactusshift.id.InstanceId;

/**
 * Ranks nodes for a duty by rendezvous hashing (highest random weight), so that a change of membership moves few
 * duties. {@code RendezvousRanking} ranks instances for other purposes, by another hash.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    // The 64-bit finalizer of MurmurHash3.
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT_BITS = 33;

    private RendezvousHash() {}

    /**
     * Returns the number of nodes that are ranked before a node for a duty.
     *
     * @param duty the duty
     * @param self the node
     * @param liveNodes the live nodes, with or without the node itself
     * @return the rank, from 0
     */
    public static int rank(DutyId duty, InstanceId self, Collection<InstanceId> liveNodes) {
        long ownWeight = weight(duty, self);
        int rank = 0;
        for (InstanceId node : liveNodes) {
            if (!node.equals(self) && isRankedBefore(weight(duty, node), node, ownWeight, self)) {
                rank++;
            }
        }
        return rank;
    }

    /**
     * Returns a hash of a text: 64-bit FNV-1a over its characters with a final mixing step. Must never change,
     * because the shards under which usage and claims are stored derive from it.
     *
     * @param text the text
     * @return the hash, the same on every node
     */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /**
     * Returns a hash of two texts from their hashes, at much lower cost than of the joined text.
     *
     * @param first the hash of the first text
     * @param second the hash of the second text
     * @return the hash, the same on every node
     */
    public static long combine(long first, long second) {
        return mix(first * FNV_PRIME ^ second);
    }

    private static long mix(long hash) {
        long mixed = (hash ^ (hash >>> MIX_SHIFT_BITS)) * MIX_FIRST;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT_BITS)) * MIX_SECOND;
        return mixed ^ (mixed >>> MIX_SHIFT_BITS);
    }

    private static boolean isRankedBefore(long weight, InstanceId node, long ownWeight, InstanceId self) {
        int comparison = Long.compareUnsigned(weight, ownWeight);
        return comparison > 0 || (comparison == 0 && node.compareTo(self) < 0);
    }

    private static long weight(DutyId duty, InstanceId node) {
        return hash(duty + "@" + node.value());
    }
}
