package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * Chooses the peer to which this node passes on a request: the one with the fewest open requests of this node among a
 * few that are chosen by rendezvous hashing of the two nodes.
 *
 * <p>So each of many partitioned nodes uses a few peers of its own, to which its connections stay open, and together
 * they load all peers evenly. A peer that took no request is left out for a while, and the next one in the ranking
 * takes its place; if none is left, the one whose turn comes first is asked.
 */
public final class PeerSelector {
    /** The number of peers that share the requests of this node. */
    private static final int PEERS_IN_USE = 8;

    /** How long a peer is left out that could not be reached, or took no request; doubles each time. */
    private static final long FIRST_BACK_OFF_MILLIS = 1_000;

    private static final int MAXIMUM_DOUBLINGS = 3;

    /** When all peers are left out, the one whose turn comes first is asked after this time all the same. */
    private static final long MINIMUM_BACK_OFF_MILLIS = 250;

    private final InstanceId self;
    private List<PeerEndpoint> ranking = List.of();
    private final Map<InstanceId, Integer> openByNode = new HashMap<>();
    private final Map<InstanceId, BackOff> backOffByNode = new HashMap<>();

    /** How often in a row a peer took no request, when it last did so, and until when it is left out. */
    private record BackOff(int count, long beganAtMillis, long untilMillis) {
        static final BackOff NONE = new BackOff(0, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);
    }

    private PeerSelector(InstanceId self) {
        this.self = self;
    }

    /**
     * Returns a selector that knows no peers.
     *
     * @param self this node
     * @return the selector
     */
    public static PeerSelector create(InstanceId self) {
        return new PeerSelector(self);
    }

    /**
     * Sets the nodes that take requests.
     *
     * @param nodes the nodes, this one possibly included
     */
    public void setNodes(Collection<PeerEndpoint> nodes) {
        List<PeerEndpoint> ranked = new ArrayList<>(nodes);
        ranked.removeIf(node -> node.node().equals(self));
        ranked.sort(Comparator.comparingLong((PeerEndpoint node) -> RendezvousHash.hash(
                        "pass " + self.value() + "/" + node.node().value()))
                .thenComparing(PeerEndpoint::node));
        ranking = ranked;
        backOffByNode
                .keySet()
                .removeIf(node -> ranked.stream().noneMatch(peer -> peer.node().equals(node)));
    }

    /**
     * Chooses a peer.
     *
     * @param excluded the peers that have not taken the request
     * @param nowMillis the current time
     * @param random the source of the random tie-breaking
     * @return the peer, empty when none is left
     */
    public Optional<PeerEndpoint> choose(Set<InstanceId> excluded, long nowMillis, RandomGenerator random) {
        PeerEndpoint best = null;
        PeerEndpoint firstBack = null;
        long firstBackMillis = Long.MAX_VALUE;
        double bestLoad = Double.MAX_VALUE;
        int seen = 0;
        for (PeerEndpoint peer : ranking) {
            BackOff backOff = backOffByNode.getOrDefault(peer.node(), BackOff.NONE);
            if (excluded.contains(peer.node())) {
                continue;
            }
            if (backOff.untilMillis() > nowMillis) {
                if (nowMillis - backOff.beganAtMillis() >= MINIMUM_BACK_OFF_MILLIS
                        && backOff.untilMillis() < firstBackMillis) {
                    firstBack = peer;
                    firstBackMillis = backOff.untilMillis();
                }
                continue;
            }
            double load = openByNode.getOrDefault(peer.node(), 0) + random.nextDouble();
            if (load < bestLoad) {
                best = peer;
                bestLoad = load;
            }
            seen++;
            if (seen == PEERS_IN_USE) {
                break;
            }
        }
        return Optional.ofNullable(best == null ? firstBack : best);
    }

    /**
     * Records a request that is passed on to a peer.
     *
     * @param peer the peer
     */
    public void onPassed(InstanceId peer) {
        openByNode.merge(peer, 1, Integer::sum);
    }

    /**
     * Records the end of a request that was passed on to a peer.
     *
     * @param peer the peer
     */
    public void onEnded(InstanceId peer) {
        openByNode.computeIfPresent(peer, (node, open) -> open > 1 ? open - 1 : null);
    }

    /**
     * Records that a peer took a request.
     *
     * @param peer the peer
     */
    public void onTaken(InstanceId peer) {
        backOffByNode.remove(peer);
    }

    /**
     * Records that a peer could not be reached or took no request.
     *
     * @param peer the peer
     * @param nowMillis the current time
     */
    public void onNotTaken(InstanceId peer, long nowMillis) {
        int count = backOffByNode.getOrDefault(peer, BackOff.NONE).count();
        long millis = FIRST_BACK_OFF_MILLIS << Math.min(count, MAXIMUM_DOUBLINGS);
        backOffByNode.put(peer, new BackOff(count + 1, nowMillis, nowMillis + millis));
    }
}
