package org.cactusshift.internal.transport.relay;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.serving.PeerEndpoint;
import org.cactusshift.internal.coordination.serving.PeerSelector;

/** Chooses the peers to which this node passes on requests. To be used on the event loop only. */
final class RequestPassing {
    private final PeerSelector selector;
    private final Supplier<List<PeerEndpoint>> endpoints;
    private final RelayClock clock;
    private final RandomGenerator random;
    private List<PeerEndpoint> knownEndpoints = List.of();

    private RequestPassing(
            PeerSelector selector, Supplier<List<PeerEndpoint>> endpoints, RelayClock clock, RandomGenerator random) {
        this.selector = selector;
        this.endpoints = endpoints;
        this.clock = clock;
        this.random = random;
    }

    /** Returns the choice among the endpoints that a supplier returns: the same list as long as nothing changes. */
    static RequestPassing create(
            InstanceId self, Supplier<List<PeerEndpoint>> endpoints, RelayClock clock, RandomGenerator random) {
        return new RequestPassing(PeerSelector.create(self), endpoints, clock, random);
    }

    /** Returns a peer that may take a request, other than those that have not taken it. */
    Optional<PeerEndpoint> choose(Set<InstanceId> excluded) {
        List<PeerEndpoint> current = endpoints.get();
        if (current != knownEndpoints) {
            knownEndpoints = current;
            selector.setNodes(current);
        }
        return selector.choose(excluded, clock.monotonicMillis(), random);
    }

    void onPassed(PeerEndpoint peer) {
        selector.onPassed(peer.node());
    }

    void onEnded(PeerEndpoint peer) {
        selector.onEnded(peer.node());
    }

    void onTaken(PeerEndpoint peer) {
        selector.onTaken(peer.node());
    }

    void onNotTaken(PeerEndpoint peer) {
        selector.onNotTaken(peer.node(), clock.monotonicMillis());
    }
}
