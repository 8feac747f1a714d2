package org.cactusshift.internal.coordination.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * Ranks the nodes of the site for each upstream by rendezvous hashing, so that nodes which know the same nodes agree on
 * the ranks without communication.
 *
 * <p>A node that is not known any more keeps its rank for some time: it may go on although this node does not hear from
 * it, or be restarted.
 */
final class SenderRanking {
    /** Longer than a restart takes, and than a node that the store lost needs to register again. */
    private static final long RETENTION_MILLIS = 10_000;

    private final InstanceId self;
    private final Map<InstanceId, Long> lastKnownMillisByNode = new HashMap<>();
    private long version;
    private boolean isComplete;

    private SenderRanking(InstanceId self) {
        this.self = self;
    }

    static SenderRanking create(InstanceId self) {
        return new SenderRanking(self);
    }

    /** Records which nodes are known now, this one possibly included. */
    void setNodes(Collection<InstanceId> nodes, long nowMillis) {
        int countBefore = lastKnownMillisByNode.size();
        lastKnownMillisByNode.values().removeIf(knownMillis -> nowMillis - knownMillis > RETENTION_MILLIS);
        boolean hasChanged = lastKnownMillisByNode.size() != countBefore;
        for (InstanceId node : nodes) {
            if (!node.equals(self)) {
                hasChanged |= lastKnownMillisByNode.put(node, nowMillis) == null;
            }
        }
        version += hasChanged || !isComplete ? 1 : 0;
        isComplete = true;
    }

    /** Returns whether the nodes are known; otherwise this node would take itself for the first one. */
    boolean isComplete() {
        return isComplete;
    }

    /** Returns a number that grows whenever ranks may have changed. */
    long version() {
        return version;
    }

    /** Returns the number of nodes, this one included. */
    int nodeCount() {
        return lastKnownMillisByNode.size() + 1;
    }

    /** Returns the number of nodes that are ranked before this one for an upstream. */
    int rank(UpstreamId upstream) {
        long ownHash = hash(upstream, self);
        int rank = 0;
        for (InstanceId node : lastKnownMillisByNode.keySet()) {
            long hash = hash(upstream, node);
            if (hash > ownHash || (hash == ownHash && node.compareTo(self) < 0)) {
                rank++;
            }
        }
        return rank;
    }

    private static long hash(UpstreamId upstream, InstanceId node) {
        return RendezvousHash.hash("limit " + upstream.value() + "/" + node.value());
    }
}
