package org.cactusshift.pgm.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.internal.coordination.membership.PeerSelection;
import org.cactusshift.internal.coordination.membership.RendezvousRanking;

/**
 * Measures, at sites of several sizes, how many peers a node sends heartbeats to, the CPU time of selecting them, and
 * how many nodes select themselves as config relay of their failure domain.
 */
final class PeerSelectionProbe implements Probe {
    /** Must equal the seed by which {@code ConfigDistributor} ranks the relays of a failure domain. */
    static final String RELAY_RANKING_SEED = "configuration relay";

    /** Must equal the number of relays in {@code DistributionPolicy}. */
    private static final int RELAYS_PER_DOMAIN = 2;

    private static final int REPEATS_DIVISOR = 10;

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> meanReceivers = new ArrayList<>();
        List<Sample> maximumReceivers = new ArrayList<>();
        List<Sample> relays = new ArrayList<>();
        List<Sample> selectionCpu = new ArrayList<>();
        for (int nodes : scale.sizes(200, 600, 1_800)) {
            List<Member> members = BenchSite.members(nodes);
            Map<InstanceId, List<Member>> receiversBySender = receiversBySender(members);
            meanReceivers.add(new Sample(
                    nodes,
                    receiversBySender.values().stream()
                            .mapToInt(List::size)
                            .average()
                            .orElseThrow()));
            maximumReceivers.add(new Sample(
                    nodes,
                    receiversBySender.values().stream()
                            .mapToInt(List::size)
                            .max()
                            .orElseThrow()));
            relays.add(new Sample(nodes, countRelays(members, receiversBySender)));
            PeerSelection selection = selection(members.get(0));
            List<Member> others = members.subList(1, nodes);
            int repeats = Math.max(1, scale.repeats() / REPEATS_DIVISOR);
            selectionCpu.add(new Sample(nodes, Meter.cpuMicros(repeats, () -> selection.select(others))));
        }
        return List.of(
                measurement(NodeRole.PEER_MESH, "receivers of a beat, mean", meanReceivers),
                measurement(NodeRole.PEER_MESH, "receivers of a beat, most", maximumReceivers),
                measurement(NodeRole.PEER_MESH, "CPU us of choosing the receivers", selectionCpu),
                measurement(NodeRole.CONFIG_RELAY, "nodes that take themselves for a relay", relays));
    }

    private static ScalingMeasurement measurement(NodeRole role, String measure, List<Sample> samples) {
        return new ScalingMeasurement(role, measure, "node", SiteSizes.NODES_TODAY, SiteSizes.NODES_PLANNED, samples);
    }

    private static PeerSelection selection(Member self) {
        return PeerSelection.of(self.id(), self.failureDomain());
    }

    private static Map<InstanceId, List<Member>> receiversBySender(List<Member> members) {
        Map<InstanceId, List<Member>> receivers = new HashMap<>();
        for (Member self : members) {
            List<Member> others =
                    members.stream().filter(member -> member != self).toList();
            receivers.put(self.id(), selection(self).select(others));
        }
        return receivers;
    }

    /**
     * Returns how many nodes select themselves as config relay. Each ranks the nodes of its failure domain that it
     * exchanges heartbeats with, in either direction.
     */
    private static int countRelays(List<Member> members, Map<InstanceId, List<Member>> receiversBySender) {
        Map<InstanceId, Member> memberById = members.stream().collect(Collectors.toMap(Member::id, member -> member));
        Map<InstanceId, Set<InstanceId>> peersByNode = new HashMap<>();
        receiversBySender.forEach((sender, receivers) -> receivers.forEach(receiver -> {
            peersByNode.computeIfAbsent(sender, id -> new HashSet<>()).add(receiver.id());
            peersByNode.computeIfAbsent(receiver.id(), id -> new HashSet<>()).add(sender);
        }));
        int relays = 0;
        for (Member self : members) {
            Set<InstanceId> view = peersByNode.getOrDefault(self.id(), Set.of()).stream()
                    .filter(id -> memberById.get(id).failureDomain().equals(self.failureDomain()))
                    .collect(Collectors.toCollection(HashSet::new));
            view.add(self.id());
            if (RendezvousRanking.rank(RELAY_RANKING_SEED, view).indexOf(self.id()) < RELAYS_PER_DOMAIN) {
                relays++;
            }
        }
        return relays;
    }
}
