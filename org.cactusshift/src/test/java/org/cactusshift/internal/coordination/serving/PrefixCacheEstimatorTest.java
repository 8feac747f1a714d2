package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheEstimatorTest {
    /** Of the capacity, 75,000 tokens are assumed to be available for prompt parts. */
    private final PrefixCacheEstimator prefixCache = new PrefixCacheEstimator(100_000);

    private final PromptPart shared = new PromptPart(1, 13_000);

    @Test
    void partIsCachedAfterItsPrefill() {
        assertFalse(prefixCache.isCached(shared));
        prefixCache.onPrefilled(List.of(shared), 8);
        assertTrue(prefixCache.isCached(shared));
    }

    @Test
    void onlyAContiguousPrefixOfThePromptCounts() {
        PromptPart own = new PromptPart(2, 500);
        prefixCache.onUse(own);
        assertEquals(0, prefixCache.cachedTokens(List.of(shared, own)));
        prefixCache.onUse(shared);
        assertEquals(13_500, prefixCache.cachedTokens(List.of(shared, own)));
    }

    @Test
    void leastRecentlyUsedPartIsEvicted() {
        prefixCache.onUse(shared);
        for (int id = 10; id < 14; id++) {
            prefixCache.onUse(new PromptPart(id, 13_000));
        }
        assertTrue(prefixCache.isCached(shared));
        prefixCache.onUse(new PromptPart(14, 13_000));
        prefixCache.onUse(new PromptPart(15, 13_000));
        assertFalse(prefixCache.isCached(shared));
    }

    @Test
    void shortPartsAreCountedOncePerNode() {
        prefixCache.onUse(shared);
        for (int id = 10; id < 20; id++) {
            prefixCache.onPrefilled(List.of(new PromptPart(id, 400)), 8);
        }
        assertTrue(prefixCache.isCached(shared));
        for (int id = 20; id < 40; id++) {
            prefixCache.onPrefilled(List.of(new PromptPart(id, 400)), 8);
        }
        assertFalse(prefixCache.isCached(shared));
    }
}
