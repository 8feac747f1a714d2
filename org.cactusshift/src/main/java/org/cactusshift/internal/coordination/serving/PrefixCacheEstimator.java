package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts are in the prefix cache of an engine, from the prompts that nodes sent to it.
 *
 * <p>Engines evict the least recently used parts, so a part is assumed to be cached while the tokens added after its
 * last use fit into the KV cache. All nodes advertise the use of long parts; of short parts a node knows only its own
 * and assumes that each other node sends as many. A wrong estimate costs time, never correctness.
 */
final class PrefixCacheEstimator {
    /** The share of the KV cache that prompt parts are assumed to fill; running requests need the rest. */
    private static final double PARTS_SHARE = 0.75;

    /** Above this number of recorded parts, those that are assumed to be evicted are removed. */
    private static final int MAXIMUM_PARTS = 4_096;

    private final double capacityTokens;
    private final Map<Long, Double> admittedAtUse = new HashMap<>();
    private double admittedTokens;

    PrefixCacheEstimator(long kvCapacityTokens) {
        this.capacityTokens = kvCapacityTokens * PARTS_SHARE;
    }

    /**
     * Records a prompt of this node that was prefilled; each part that is not advertised counts once for every node.
     */
    void onPrefilled(List<PromptPart> prompt, int nodeCount) {
        for (PromptPart part : prompt) {
            if (PromptPartUse.isAdvertised(part)) {
                onUse(part);
            } else {
                admittedTokens += (double) part.tokens() * nodeCount;
                admittedAtUse.put(part.id(), admittedTokens);
            }
        }
        trim();
    }

    /** Records the use of a part by this node or by another one. */
    void onUse(PromptPart part) {
        if (!isCached(part)) {
            admittedTokens += part.tokens();
        }
        admittedAtUse.put(part.id(), admittedTokens);
    }

    private void trim() {
        if (admittedAtUse.size() <= MAXIMUM_PARTS) {
            return;
        }
        for (Iterator<Double> uses = admittedAtUse.values().iterator(); uses.hasNext(); ) {
            if (admittedTokens - uses.next() > capacityTokens) {
                uses.remove();
            }
        }
    }

    boolean isCached(PromptPart part) {
        Double used = admittedAtUse.get(part.id());
        return used != null && admittedTokens - used + part.tokens() <= capacityTokens;
    }

    /** Returns the number of tokens at the start of a prompt that are cached and need no prefill. */
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
