package org.cactusshift.internal.transport.relay;

import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * Chooses the peers that a node sends to in a tick, so that each gets one message in a round.
 *
 * <p>Each node begins its round at another peer. Nodes that were started together would otherwise send to the same few
 * peers in each tick, and news would reach only as many further nodes a tick as one node sends to.
 */
final class GossipRound {
    private final long offset;

    private GossipRound(long offset) {
        this.offset = offset;
    }

    static GossipRound create(InstanceId self) {
        return new GossipRound(RendezvousHash.hash("round " + self.value()));
    }

    /** Returns whether a tick serves a peer, by its position among all nodes and the number of ticks in a round. */
    boolean serves(int position, long tick, int ticksPerRound) {
        return Math.floorMod(position + tick + offset, ticksPerRound) == 0;
    }
}
