package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.junit.jupiter.api.Test;

class UsageCountsTest {
    private static final AccountId ACCOUNT = AccountId.fromString("a");
    private static final IncarnationId OTHER = IncarnationId.fromString("other");
    private final UsageCounts counts = UsageCounts.create(5_000);

    @Test
    void totalIsTheSumOfAllNodes() {
        counts.add(ACCOUNT, 5_001);
        counts.mergeRemote(OTHER, 1, Map.of(ACCOUNT, 4L));
        assertEquals(Map.of(ACCOUNT, 5L), counts.total(1));
        assertEquals(Map.of(), counts.total(0));
    }

    @Test
    void duplicatedAndLateMessagesCountOnce() {
        counts.mergeRemote(OTHER, 1, Map.of(ACCOUNT, 4L));
        counts.mergeRemote(OTHER, 1, Map.of(ACCOUNT, 4L));
        counts.mergeRemote(OTHER, 1, Map.of(ACCOUNT, 3L));
        assertEquals(4L, counts.total(1).get(ACCOUNT));
    }

    @Test
    void countsOfARestartedNodeAddToThoseOfItsFormerIncarnation() {
        counts.mergeRemote(OTHER, 1, Map.of(ACCOUNT, 4L));
        counts.mergeRemote(IncarnationId.fromString("again"), 1, Map.of(ACCOUNT, 1L));
        assertEquals(5L, counts.total(1).get(ACCOUNT));
    }

    @Test
    void windowEndsWhereTheNextBegins() {
        assertEquals(2, counts.window(counts.endEpochMillis(1)));
        assertEquals(1, counts.window(counts.endEpochMillis(1) - 1));
    }

    /**
     * Scenario: the collector is replaced after another node was lost; the remaining nodes forward the counts of the
     * lost one.
     */
    @Test
    void returnsRecentCountsOfUnreachableNodesOnly() {
        counts.mergeRemote(OTHER, 1, Map.of(ACCOUNT, 4L));
        counts.mergeRemote(OTHER, 7, Map.of(ACCOUNT, 2L));
        assertEquals(Map.of(), counts.ofUnreachableNodes(Set.of(OTHER), 5));
        assertEquals(Map.of(OTHER, Map.of(7L, Map.of(ACCOUNT, 2L))), counts.ofUnreachableNodes(Set.of(), 5));
    }
}
