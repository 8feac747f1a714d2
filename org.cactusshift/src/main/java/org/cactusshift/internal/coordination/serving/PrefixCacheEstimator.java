package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Guesses which prompt parts an engine keeps, from the prompts that nodes had it read.
 *
 * <p>Engines give up the parts used least recently. So a part is kept while the tokens that came after its last use fit
 * into the memory. Long parts are told by all nodes; of short ones a node knows its own, and takes others to send as
 * much. A wrong guess costs time, never correctness.
 */
final class PrefixCacheEstimator {
    /** The share of an engine's memory that parts are assumed to fill; running requests need the rest. */
    private static final double PARTS_SHARE = 0.75;

    /** Parts are forgotten once more than this many are noted, oldest first. */
    private static final int MAXIMUM_PARTS = 4_096;

    private final double capacityTokens;
    private final Map<Long, Double> admittedAtUse = new HashMap<>();
    private double admittedTokens;

    PrefixCacheEstimator(long kvCapacityTokens) {
        this.capacityTokens = kvCapacityTokens * PARTS_SHARE;
    }

    /** Notes a prompt of this node that was read; parts that other nodes do not tell of stand for theirs too. */
    void onPrefilled(List<PromptPart> prompt, int nodes) {
        for (PromptPart part : prompt) {
            if (PromptPartUse.isAdvertised(part)) {
                onUse(part);
            } else {
                admittedTokens += (double) part.tokens() * nodes;
                admittedAtUse.put(part.id(), admittedTokens);
            }
        }
        trim();
    }

    /** Notes the use of a part, by this node or another. */
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

    /** Returns the tokens at the start of a prompt that need not be read again. */
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
