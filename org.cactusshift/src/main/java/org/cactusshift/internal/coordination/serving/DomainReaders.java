package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * The nodes of a failure domain in the order in which they read the store for the others: by rendezvous hashing, so
 * that nodes which know the same nodes agree. Immutable.
 *
 * @param rank the position of this node, the number of the others while it is not registered
 * @param others where the other nodes take messages
 */
public record DomainReaders(int rank, List<PeerEndpoint> others) {
    /** The number of nodes that always tell others of their reads; the rest does so when nothing is heard of these. */
    private static final int TELLING_NODES = 4;

    /** Copies the list. */
    public DomainReaders {
        others = List.copyOf(others);
    }

    /**
     * Returns the order in a failure domain.
     *
     * @param self this node
     * @param domain its failure domain
     * @param nodes the registered nodes of all failure domains
     * @return the order
     */
    public static DomainReaders of(InstanceId self, FailureDomainId domain, Collection<PeerEndpoint> nodes) {
        List<PeerEndpoint> members = new ArrayList<>();
        for (PeerEndpoint node : nodes) {
            if (node.domain().equals(domain)) {
                members.add(node);
            }
        }
        members.sort(Comparator.comparingLong((PeerEndpoint node) ->
                        RendezvousHash.hash("reads " + node.node().value()))
                .thenComparing(PeerEndpoint::node));
        List<PeerEndpoint> others = new ArrayList<>();
        int rank = -1;
        for (PeerEndpoint member : members) {
            if (!member.node().equals(self)) {
                others.add(member);
            } else if (rank < 0) {
                rank = others.size();
            }
        }
        return new DomainReaders(rank < 0 ? others.size() : rank, others);
    }

    /**
     * Returns whether this node tells the others of each of its reads.
     *
     * @return whether it is one of the first
     */
    public boolean tells() {
        return rank < TELLING_NODES && !others.isEmpty();
    }
}
