package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts are in the prefix cache of an engine, from the prompts that nodes sent to it.
 *
 * <p>Engines evict the least recently used parts, so a part is assumed to be cached while the tokens added after its
 * last use fit into the share of the KV cache that is assumed for prompt parts. All nodes advertise the use of long
 * parts; of short parts a node knows only its own and assumes that each other node sends as many. A wrong estimate
 * costs time, never correctness.
 */
final class PrefixCacheEstimator {
    /** The share of the KV cache that prompt parts are assumed to fill; running requests need the rest. */
    private static final double PROMPT_PARTS_SHARE = 0.75;

    /** Above this number of recorded parts, those that are assumed to be evicted are removed. */
    private static final int CLEANUP_THRESHOLD_PARTS = 4_096;

    private final double capacityTokens;
    /** The value of {@link #insertedTokens} at the last use of each part, by part id. */
    private final Map<Long, Double> insertedTokensAtLastUse = new HashMap<>();
    /**
     * The running total of the tokens that count as added to the cache. A part that is not advertised counts at each
     * use, even if it is assumed to be cached.
     */
    private double insertedTokens;

    PrefixCacheEstimator(long kvCapacityTokens) {
        this.capacityTokens = kvCapacityTokens * PROMPT_PARTS_SHARE;
    }

    /**
     * Records a prompt of this node that was prefilled. A part that is not advertised is counted {@code nodeCount}
     * times, as each other node is assumed to send as many tokens.
     */
    void onPrefilled(List<PromptPart> prompt, int nodeCount) {
        for (PromptPart part : prompt) {
            if (PromptPartUse.isAdvertised(part)) {
                onUse(part);
            } else {
                insertedTokens += (double) part.tokens() * nodeCount;
                insertedTokensAtLastUse.put(part.id(), insertedTokens);
            }
        }
        removeEvicted();
    }

    /** Records the use of a part by this node or by another one. */
    void onUse(PromptPart part) {
        if (!isCached(part)) {
            insertedTokens += part.tokens();
        }
        insertedTokensAtLastUse.put(part.id(), insertedTokens);
    }

    private void removeEvicted() {
        if (insertedTokensAtLastUse.size() <= CLEANUP_THRESHOLD_PARTS) {
            return;
        }
        for (Iterator<Double> uses = insertedTokensAtLastUse.values().iterator(); uses.hasNext(); ) {
            if (insertedTokens - uses.next() > capacityTokens) {
                uses.remove();
            }
        }
    }

    /** Returns whether a part is assumed to be in the cache. */
    boolean isCached(PromptPart part) {
        Double used = insertedTokensAtLastUse.get(part.id());
        return used != null && insertedTokens - used + part.tokens() <= capacityTokens;
    }

    /** Returns the number of tokens at the start of a prompt that are assumed to be cached and to need no prefill. */
    int cachedTokens(List<PromptPart> prompt) {
        int tokens = 0;
        for (PromptPart part : prompt) {
            if (!isCached(part)) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }
}
