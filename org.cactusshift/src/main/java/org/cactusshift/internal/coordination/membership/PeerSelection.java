package org.cactusshift.internal.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;

/**
 * Selects the peers to which a node sends heartbeats.
 *
 * <p>Up to {@link #FULL_MESH_MAX_NODES} nodes every node sends to every other: {@code n - 1} messages per heartbeat
 * period. Above, a node sends within its failure domain to the nodes at distances 1, 2, 4, ... on a ring, which is
 * {@code ceil(log2(d))} messages for {@code d} nodes of the failure domain, and the
 * {@link #REPRESENTATIVES_PER_DOMAIN} representatives of each failure domain send to those of the other failure
 * domains. At 1,800 nodes in 22 failure domains that is 7 messages per period, and 49 for the 44 representatives.
 */
public final class PeerSelection {
    /** The number of nodes up to which every node sends to every other. */
    public static final int FULL_MESH_MAX_NODES = 16;

    /** The number of nodes of a failure domain that exchange heartbeats with other failure domains. */
    public static final int REPRESENTATIVES_PER_DOMAIN = 2;

    private static final String RING_PURPOSE = "heartbeat ring";
    private static final String REPRESENTATIVE_PURPOSE = "representative";

    private final InstanceId self;
    private final FailureDomainId failureDomain;

    private PeerSelection(InstanceId self, FailureDomainId failureDomain) {
        this.self = self;
        this.failureDomain = failureDomain;
    }

    /**
     * Creates the selection of a node.
     *
     * @param self the node
     * @param failureDomain its failure domain
     * @return the selection
     */
    public static PeerSelection of(InstanceId self, FailureDomainId failureDomain) {
        return new PeerSelection(self, failureDomain);
    }

    /**
     * Selects the receivers of the next heartbeat; suspects are included, as otherwise they could never become live
     * again.
     *
     * @param members the members without this node
     * @return the receivers
     */
    public List<Member> select(Collection<Member> members) {
        // The members are without this node, hence less-than for "up to".
        if (members.size() < FULL_MESH_MAX_NODES) {
            return List.copyOf(members);
        }
        Map<InstanceId, Member> byId = members.stream().collect(Collectors.toMap(Member::id, Function.identity()));
        Map<FailureDomainId, Set<InstanceId>> instancesByFailureDomain = groupByFailureDomain(members);
        Map<InstanceId, Member> chosen = new LinkedHashMap<>();
        for (InstanceId id : ringPeers(instancesByFailureDomain.get(failureDomain))) {
            chosen.put(id, byId.get(id));
        }
        if (representatives(failureDomain, instancesByFailureDomain).contains(self)) {
            for (FailureDomainId other : instancesByFailureDomain.keySet()) {
                if (!other.equals(failureDomain)) {
                    representatives(other, instancesByFailureDomain).forEach(id -> chosen.put(id, byId.get(id)));
                }
            }
        }
        return List.copyOf(chosen.values());
    }

    private Map<FailureDomainId, Set<InstanceId>> groupByFailureDomain(Collection<Member> members) {
        Map<FailureDomainId, Set<InstanceId>> instancesByFailureDomain = new TreeMap<>();
        instancesByFailureDomain
                .computeIfAbsent(failureDomain, unused -> new TreeSet<>())
                .add(self);
        for (Member member : members) {
            instancesByFailureDomain
                    .computeIfAbsent(member.failureDomain(), unused -> new TreeSet<>())
                    .add(member.id());
        }
        return instancesByFailureDomain;
    }

    private List<InstanceId> ringPeers(Set<InstanceId> instances) {
        List<InstanceId> ring = RendezvousRanking.rank(RING_PURPOSE, instances);
        int position = ring.indexOf(self);
        List<InstanceId> peers = new ArrayList<>();
        for (int distance = 1; distance < ring.size(); distance *= 2) {
            peers.add(ring.get((position + distance) % ring.size()));
        }
        return peers;
    }

    private static List<InstanceId> representatives(
            FailureDomainId domain, Map<FailureDomainId, Set<InstanceId>> instancesByFailureDomain) {
        List<InstanceId> ranking = RendezvousRanking.rank(REPRESENTATIVE_PURPOSE, instancesByFailureDomain.get(domain));
        return ranking.subList(0, Math.min(REPRESENTATIVES_PER_DOMAIN, ranking.size()));
    }
}
