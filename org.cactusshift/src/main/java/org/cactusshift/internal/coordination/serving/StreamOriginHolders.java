package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.RequestId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * Chooses the nodes that keep the origin of a stream, by rendezvous hashing of the request, so that nodes which know
 * the same nodes choose the same ones. Immutable.
 */
public final class StreamOriginHolders {
    /** The number of nodes that keep the origin of a stream besides the one that began it. */
    private static final int COPIES = 2;

    private final List<InstanceId> nodes;
    private final long[] hashes;

    private StreamOriginHolders(Collection<InstanceId> nodes) {
        this.nodes = List.copyOf(nodes);
        this.hashes = this.nodes.stream()
                .mapToLong(node -> RendezvousHash.hash(node.value()))
                .toArray();
    }

    /**
     * Returns the choice among nodes.
     *
     * @param otherNodes the nodes of the site other than the one that chooses
     * @return the choice
     */
    public static StreamOriginHolders among(Collection<InstanceId> otherNodes) {
        return new StreamOriginHolders(otherNodes);
    }

    /**
     * Returns the nodes that the one which begins a stream tells its origin.
     *
     * @param request the request whose response brings the first event
     * @return the nodes
     */
    public List<InstanceId> told(RequestId request) {
        return first(request, COPIES);
    }

    /**
     * Returns the nodes to be asked for the origin of a stream which another node began: one more than are told, as
     * that node did not choose itself.
     *
     * @param request the request whose response brought the first event
     * @return the nodes
     */
    public List<InstanceId> asked(RequestId request) {
        return first(request, COPIES + 1);
    }

    private List<InstanceId> first(RequestId request, int count) {
        long requestHash = RendezvousHash.hash(request.value());
        List<InstanceId> chosen = new ArrayList<>();
        boolean[] isChosen = new boolean[hashes.length];
        while (chosen.size() < Math.min(count, hashes.length)) {
            int best = -1;
            long bestHash = 0;
            for (int i = 0; i < hashes.length; i++) {
                long hash = RendezvousHash.combine(requestHash, hashes[i]);
                if (!isChosen[i] && (best < 0 || hash < bestHash)) {
                    best = i;
                    bestHash = hash;
                }
            }
            isChosen[best] = true;
            chosen.add(nodes.get(best));
        }
        return chosen;
    }
}
