package org.cactusshift.internal.coordination.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;

class PrefixIndexTest {
    private static final UpstreamId ENGINE = UpstreamId.fromString("engine-1");

    private static PrefixIndex.Event stored(long sequence, long prefix) {
        return new PrefixIndex.Event(sequence, PrefixIndex.EventKind.STORED, prefix);
    }

    @Test
    void sequenceGapDropsHintsFromEventsButNotFromSentPrompts() {
        PrefixIndex index = PrefixIndex.create(100);
        index.onSend(ENGINE, List.of(1L, 2L));
        index.onEvent(ENGINE, stored(1, 3));
        assertEquals(Map.of(ENGINE, 3), index.cachedBlocks(List.of(1L, 2L, 3L)));
        index.onEvent(ENGINE, stored(5, 9));
        assertEquals(Map.of(ENGINE, 2), index.cachedBlocks(List.of(1L, 2L, 3L)));
        assertEquals(Map.of(ENGINE, 1), index.cachedBlocks(List.of(9L)));
    }

    @Test
    void evictionsAndClearsRemoveHints() {
        PrefixIndex index = PrefixIndex.create(100);
        index.onSend(ENGINE, List.of(1L, 2L));
        index.onEvent(ENGINE, new PrefixIndex.Event(1, PrefixIndex.EventKind.EVICTED, 2));
        assertEquals(Map.of(ENGINE, 1), index.cachedBlocks(List.of(1L, 2L)));
        index.onEvent(ENGINE, new PrefixIndex.Event(2, PrefixIndex.EventKind.CLEARED, 0));
        assertEquals(Map.of(), index.cachedBlocks(List.of(1L, 2L)));
    }

    @Test
    void repeatedEventsAreIgnored() {
        PrefixIndex index = PrefixIndex.create(100);
        index.onEvent(ENGINE, stored(1, 1));
        index.onEvent(ENGINE, new PrefixIndex.Event(2, PrefixIndex.EventKind.EVICTED, 1));
        index.onEvent(ENGINE, stored(1, 1));
        assertEquals(Map.of(), index.cachedBlocks(List.of(1L)));
    }

    @Test
    void evictsTheLeastRecentlyUsedPrefixBeyondItsBound() {
        PrefixIndex index = PrefixIndex.create(2);
        index.onSend(ENGINE, List.of(1L));
        index.onSend(ENGINE, List.of(2L));
        index.cachedBlocks(List.of(1L));
        index.onSend(ENGINE, List.of(3L));
        assertEquals(Map.of(ENGINE, 1), index.cachedBlocks(List.of(1L)));
        assertEquals(Map.of(), index.cachedBlocks(List.of(2L)));
    }
}
