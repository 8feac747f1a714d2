package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cactusshift.id.InstanceId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GossipRoundTest {
    private static final int PEERS_PER_TICK = 8;

    private static List<GossipRound> rounds(int nodeCount) {
        List<GossipRound> rounds = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            rounds.add(GossipRound.create(InstanceId.fromString("node-" + i)));
        }
        return rounds;
    }

    /** Guards against nodes that were started together and send to the same peers in each tick. */
    @ParameterizedTest
    @CsvSource({"8, 1", "60, 6", "1800, 12"})
    void newsReachesAllNodesSoonWhenTheyWereStartedTogether(int nodeCount, int maximumTicks) {
        List<GossipRound> rounds = rounds(nodeCount);
        int ticksPerRound = 1 + (nodeCount - 1) / PEERS_PER_TICK;
        Set<Integer> informed = new HashSet<>(Set.of(0));
        int ticks = 0;
        while (informed.size() < nodeCount) {
            ticks++;
            assertTrue(ticks <= maximumTicks, informed.size() + " nodes know after " + maximumTicks + " ticks");
            for (int sender : List.copyOf(informed)) {
                for (int peer = 0; peer < nodeCount; peer++) {
                    if (rounds.get(sender).serves(peer, ticks, ticksPerRound)) {
                        informed.add(peer);
                    }
                }
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"8, 1", "60, 8"})
    void eachPeerIsServedOnceInARound(int nodeCount, int ticksPerRound) {
        GossipRound round = GossipRound.create(InstanceId.fromString("n"));
        for (int peer = 0; peer < nodeCount; peer++) {
            int served = 0;
            for (int tick = 0; tick < ticksPerRound; tick++) {
                served += round.serves(peer, tick, ticksPerRound) ? 1 : 0;
            }
            assertEquals(1, served);
        }
    }
}
