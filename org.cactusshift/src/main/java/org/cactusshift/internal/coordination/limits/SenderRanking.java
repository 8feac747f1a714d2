package org.cactusshift.internal.coordination.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * Ranks the nodes of the site for each upstream by rendezvous hashing, so that nodes which know the same nodes agree on
 * the ranks without communication.
 *
 * <p>A node that is not known any more keeps its rank for some time: it may go on although this node does not hear from
 * it, or be restarted.
 *
 * <p>Nodes that do not reach the service of an upstream are ranked after the others.
 */
final class SenderRanking {
    /** Longer than a restart takes, and than a node that the store lost needs to register again. */
    private static final long RETENTION_MILLIS = 10_000;

    /** Until then the others have heard that this node reaches a service again, and rank it among themselves. */
    private static final long OWN_RETURN_MILLIS = 3_000;

    private final InstanceId self;
    private final Map<InstanceId, Long> lastKnownMillisByNode = new HashMap<>();
    private final Map<ServiceId, Long> lastUnreachableMillisByService = new HashMap<>();
    private Map<InstanceId, Set<ServiceId>> unreachableServicesByNode = Map.of();
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

    /** Records which services nodes do not reach now, this one included. */
    void setUnreachableServices(Map<InstanceId, Set<ServiceId>> servicesByNode, long nowMillis) {
        servicesByNode
                .getOrDefault(self, Set.of())
                .forEach(service -> lastUnreachableMillisByService.put(service, nowMillis));
        lastUnreachableMillisByService.values().removeIf(lastMillis -> nowMillis - lastMillis > OWN_RETURN_MILLIS);
        Map<InstanceId, Set<ServiceId>> unreachable = new HashMap<>(servicesByNode);
        unreachable.put(self, Set.copyOf(lastUnreachableMillisByService.keySet()));
        version += unreachable.equals(unreachableServicesByNode) ? 0 : 1;
        unreachableServicesByNode = unreachable;
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

    /** Returns the number of nodes that reach a service, as far as this one knows; at least 1. */
    int reachingNodeCount(ServiceId service) {
        int count = reaches(self, service) ? 1 : 0;
        for (InstanceId node : lastKnownMillisByNode.keySet()) {
            count += reaches(node, service) ? 1 : 0;
        }
        return Math.max(1, count);
    }

    private boolean reaches(InstanceId node, ServiceId service) {
        return !unreachableServicesByNode.getOrDefault(node, Set.of()).contains(service);
    }

    /** Returns the number of nodes that are ranked before this one for an upstream of a service. */
    int rank(UpstreamId upstream, ServiceId service) {
        long ownHash = hash(upstream, self);
        boolean selfReaches = reaches(self, service);
        int rank = 0;
        for (InstanceId node : lastKnownMillisByNode.keySet()) {
            boolean nodeReaches = reaches(node, service);
            long hash = hash(upstream, node);
            boolean isFirstByHash = hash > ownHash || (hash == ownHash && node.compareTo(self) < 0);
            if (nodeReaches == selfReaches ? isFirstByHash : nodeReaches) {
                rank++;
            }
        }
        return rank;
    }

    private static long hash(UpstreamId upstream, InstanceId node) {
        return RendezvousHash.hash("limit " + upstream.value() + "/" + node.value());
    }
}
