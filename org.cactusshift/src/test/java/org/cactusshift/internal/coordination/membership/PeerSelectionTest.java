package org.cactusshift.internal.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeerSelectionTest {
    @ParameterizedTest
    @CsvSource({
        // nodes, failure domains, maximum messages of a node, messages of all nodes
        "8, 4, 7, 56",
        "16, 4, 15, 240",
        "88, 4, 11, 488",
        "1804, 22, 49, 14476",
    })
    void selectedPeersConnectAllNodesWithinTheMessageBound(int nodes, int domains, int maxMessages, int allMessages) {
        List<Member> all = members(nodes, domains);
        Map<InstanceId, Set<InstanceId>> links = new HashMap<>();
        int sum = 0;
        for (Member member : all) {
            List<Member> others = new ArrayList<>(all);
            others.remove(member);
            List<Member> chosen =
                    PeerSelection.of(member.id(), member.failureDomain()).select(others);
            assertTrue(chosen.size() <= maxMessages, () -> chosen.size() + " messages");
            sum += chosen.size();
            // A link counts in both directions, because heartbeats are responded to.
            for (Member peer : chosen) {
                links.computeIfAbsent(member.id(), unused -> new HashSet<>()).add(peer.id());
                links.computeIfAbsent(peer.id(), unused -> new HashSet<>()).add(member.id());
            }
        }
        assertEquals(allMessages, sum);
        assertEquals(nodes, reached(links, all.get(0).id()));
    }

    private static int reached(Map<InstanceId, Set<InstanceId>> links, InstanceId start) {
        Set<InstanceId> seen = new HashSet<>(Set.of(start));
        Deque<InstanceId> toVisit = new ArrayDeque<>(seen);
        while (!toVisit.isEmpty()) {
            for (InstanceId next : links.get(toVisit.remove())) {
                if (seen.add(next)) {
                    toVisit.add(next);
                }
            }
        }
        return seen.size();
    }

    private static List<Member> members(int nodes, int domains) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            members.add(new Member(
                    InstanceId.fromString("n" + i),
                    FailureDomainId.fromString("fd" + i % domains),
                    "127.0.0.1:" + i,
                    Optional.empty(),
                    Member.State.LIVE));
        }
        return members;
    }
}
