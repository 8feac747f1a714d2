package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheEstimatorTest {
    private final PrefixCacheEstimator parts = new PrefixCacheEstimator(100_000);
    private final PromptPart shared = new PromptPart(1, 13_000);

    @Test
    void partIsKeptFromItsReadingOn() {
        assertFalse(parts.isCached(shared));
        parts.onPrefilled(List.of(shared), 8);
        assertTrue(parts.isCached(shared));
    }

    @Test
    void onlyAnUnbrokenStartOfThePromptIsKept() {
        PromptPart own = new PromptPart(2, 500);
        parts.onUse(own);
        assertEquals(0, parts.cachedTokens(List.of(shared, own)));
        parts.onUse(shared);
        assertEquals(13_500, parts.cachedTokens(List.of(shared, own)));
    }

    @Test
    void partUnusedForLongestYields() {
        parts.onUse(shared);
        for (int id = 10; id < 14; id++) {
            parts.onUse(new PromptPart(id, 13_000));
        }
        assertTrue(parts.isCached(shared));
        parts.onUse(new PromptPart(14, 13_000));
        parts.onUse(new PromptPart(15, 13_000));
        assertFalse(parts.isCached(shared));
    }

    @Test
    void shortPartsOfOtherNodesFillTheMemoryToo() {
        parts.onUse(shared);
        for (int id = 10; id < 20; id++) {
            parts.onPrefilled(List.of(new PromptPart(id, 400)), 8);
        }
        assertTrue(parts.isCached(shared));
        for (int id = 20; id < 40; id++) {
            parts.onPrefilled(List.of(new PromptPart(id, 400)), 8);
        }
        assertFalse(parts.isCached(shared));
    }
}
