package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cactusshift.id.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeerSelectorTest {
    private static final int REQUESTS_PER_NODE = 240;
    private static final int MAXIMUM_ASKED_PEERS = 3;

    private final SplittableRandom random = new SplittableRandom(31);

    private static InstanceId node(int number) {
        return InstanceId.fromString("n" + number);
    }

    private static List<PeerEndpoint> nodes(int count) {
        List<PeerEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(
                    new PeerEndpoint(node(i), ServingFixture.LOCAL_DOMAIN, "127.0.0.1:" + i, new PeerToken("t" + i)));
        }
        return endpoints;
    }

    /**
     * The first nodes are partitioned, as those of a whole failure domain may be, and pass on all their requests, each
     * of which stays open while ten others are passed on.
     */
    @ParameterizedTest
    @CsvSource({"8, 1", "8, 2", "8, 4", "60, 1", "60, 15", "60, 30", "1800, 82", "1800, 900"})
    void peersShareTheRequestsOfPartitionedNodes(int count, int partitioned) {
        Map<InstanceId, Integer> served = new HashMap<>();
        int lost = 0;
        for (int i = 0; i < partitioned; i++) {
            PeerSelector selector = PeerSelector.create(node(i));
            selector.setNodes(nodes(count));
            List<InstanceId> open = new ArrayList<>();
            for (int request = 0; request < REQUESTS_PER_NODE; request++) {
                long now = request * 50L;
                Optional<InstanceId> taker = pass(selector, partitioned, now);
                if (taker.isEmpty()) {
                    lost++;
                    continue;
                }
                served.merge(taker.get(), 1, Integer::sum);
                open.add(taker.get());
                if (open.size() > 10) {
                    selector.onEnded(open.remove(0));
                }
            }
        }
        int total = partitioned * REQUESTS_PER_NODE;
        assertTrue(lost <= total / 50, lost + " of " + total + " found no peer");
        double mean = (double) (total - lost) / (count - partitioned);
        int most = served.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        // With few partitioned nodes a peer gets the eighth part of one of them, or of each of a few.
        assertTrue(most <= Math.max(3 * mean, REQUESTS_PER_NODE), most + " requests at one peer, mean " + mean);
    }

    private Optional<InstanceId> pass(PeerSelector selector, int partitioned, long now) {
        Set<InstanceId> asked = new HashSet<>();
        while (asked.size() < MAXIMUM_ASKED_PEERS) {
            Optional<PeerEndpoint> peer = selector.choose(asked, now, random);
            if (peer.isEmpty()) {
                return Optional.empty();
            }
            InstanceId chosen = peer.get().node();
            asked.add(chosen);
            if (Integer.parseInt(chosen.value().substring(1)) >= partitioned) {
                selector.onPassed(chosen);
                selector.onTaken(chosen);
                return Optional.of(chosen);
            }
            selector.onNotTaken(chosen, now);
        }
        return Optional.empty();
    }

    @Test
    void neverChoosesThisNode() {
        PeerSelector selector = PeerSelector.create(node(0));
        selector.setNodes(nodes(1));
        assertEquals(Optional.empty(), selector.choose(Set.of(), 0, random));
    }

    @Test
    void peerThatTookNoRequestIsLeftOutForAWhile() {
        PeerSelector selector = PeerSelector.create(node(0));
        selector.setNodes(nodes(3));
        selector.onNotTaken(node(1), 0);
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    node(2),
                    selector.choose(Set.of(), 999, random).orElseThrow().node());
        }
    }

    @Test
    void peerWhoseTurnComesFirstIsAskedWhenAllAreLeftOut() {
        PeerSelector selector = PeerSelector.create(node(0));
        selector.setNodes(nodes(3));
        selector.onNotTaken(node(1), 0);
        selector.onNotTaken(node(1), 0);
        selector.onNotTaken(node(2), 0);
        assertEquals(Optional.empty(), selector.choose(Set.of(), 249, random));
        assertEquals(
                node(2), selector.choose(Set.of(), 250, random).orElseThrow().node());
        selector.onNotTaken(node(2), 250);
        assertEquals(
                node(1), selector.choose(Set.of(), 499, random).orElseThrow().node());
    }

    @Test
    void tokenMatchesOnlyItself() {
        PeerToken token = PeerToken.random(new SecureRandom());
        assertTrue(token.matches(token.value()));
        assertFalse(token.matches(null));
        assertFalse(token.matches(""));
        assertFalse(token.matches(token.value() + "0"));
        assertNotEquals(token, PeerToken.random(new SecureRandom()));
        assertFalse(token.toString().contains(token.value()));
    }
}
