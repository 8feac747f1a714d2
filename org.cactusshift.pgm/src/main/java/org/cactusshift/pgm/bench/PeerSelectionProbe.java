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
 * Measures, in fleets of several sizes, how many peers a node sends heartbeats to, the CPU time of selecting them, and
 * how many nodes select themselves as config relay of their failure domain.
 */
final class PeerSelectionProbe implements Probe {
    /** The purpose that {@link RendezvousRanking} ranks the relays for. */
    static final String RELAY = "configuration relay";

    private static final int RELAYS_PER_DOMAIN = 2;
    private static final int REPEATS_DIVISOR = 10;

    @Override
    public List<Slope> measure(Scale scale) {
        List<Sample> meanReceivers = new ArrayList<>();
        List<Sample> maximumReceivers = new ArrayList<>();
        List<Sample> relays = new ArrayList<>();
        List<Sample> cpu = new ArrayList<>();
        for (int nodes : scale.sizes(200, 600, 1_800)) {
            List<Member> all = BenchSite.members(nodes);
            Map<InstanceId, List<Member>> receiversByNode = receiversOf(all);
            meanReceivers.add(new Sample(
                    nodes,
                    receiversByNode.values().stream()
                            .mapToInt(List::size)
                            .average()
                            .orElseThrow()));
            maximumReceivers.add(new Sample(
                    nodes,
                    receiversByNode.values().stream().mapToInt(List::size).max().orElseThrow()));
            relays.add(new Sample(nodes, countRelays(all, receiversByNode)));
            PeerSelection selection = selection(all.get(0));
            List<Member> others = all.subList(1, nodes);
            int repeats = Math.max(1, scale.repeats() / REPEATS_DIVISOR);
            cpu.add(new Sample(nodes, Meter.cpuMicros(repeats, () -> selection.select(others))));
        }
        return List.of(
                slope(Role.PEER_MESH, "receivers of a beat, mean", meanReceivers),
                slope(Role.PEER_MESH, "receivers of a beat, most", maximumReceivers),
                slope(Role.PEER_MESH, "CPU us of choosing the receivers", cpu),
                slope(Role.CONFIG_RELAY, "nodes that take themselves for a relay", relays));
    }

    private static Slope slope(Role role, String measure, List<Sample> samples) {
        return new Slope(role, measure, "node", SiteSizes.NODES_TODAY, SiteSizes.NODES, samples);
    }

    private static PeerSelection selection(Member self) {
        return PeerSelection.of(self.id(), self.failureDomain());
    }

    private static Map<InstanceId, List<Member>> receiversOf(List<Member> all) {
        Map<InstanceId, List<Member>> receivers = new HashMap<>();
        for (Member self : all) {
            List<Member> others = all.stream().filter(member -> member != self).toList();
            receivers.put(self.id(), selection(self).select(others));
        }
        return receivers;
    }

    /** Each node ranks the nodes of its failure domain that it exchanges heartbeats with, in either direction. */
    private static int countRelays(List<Member> all, Map<InstanceId, List<Member>> receiversByNode) {
        Map<InstanceId, Member> memberById = all.stream().collect(Collectors.toMap(Member::id, member -> member));
        Map<InstanceId, Set<InstanceId>> peersByNode = new HashMap<>();
        receiversByNode.forEach((sender, receivers) -> receivers.forEach(receiver -> {
            peersByNode.computeIfAbsent(sender, id -> new HashSet<>()).add(receiver.id());
            peersByNode.computeIfAbsent(receiver.id(), id -> new HashSet<>()).add(sender);
        }));
        int relays = 0;
        for (Member self : all) {
            Set<InstanceId> view = peersByNode.getOrDefault(self.id(), Set.of()).stream()
                    .filter(id -> memberById.get(id).failureDomain().equals(self.failureDomain()))
                    .collect(Collectors.toCollection(HashSet::new));
            view.add(self.id());
            if (RendezvousRanking.rank(RELAY, view).indexOf(self.id()) < RELAYS_PER_DOMAIN) {
                relays++;
            }
        }
        return relays;
    }
}
