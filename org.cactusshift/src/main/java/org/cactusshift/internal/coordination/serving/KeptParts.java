package org.cactusshift.internal.coordination.serving;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Guesses which prompt parts an engine keeps, from the requests sent to it.
 *
 * <p>The parts used least recently are given up first, as engines do. A wrong guess costs time, never correctness.
 */
final class KeptParts {
    /** The share of an engine's memory that parts are assumed to fill; running requests need the rest. */
    private static final double PARTS_SHARE = 0.7;

    private final long capacityTokens;
    private final LinkedHashMap<Long, Kept> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long keptTokens;

    KeptParts(long kvCapacityTokens) {
        this.capacityTokens = (long) (kvCapacityTokens * PARTS_SHARE);
    }

    private record Kept(int tokens, long usedAtMillis) {}

    void onUse(List<PromptPart> prompt, long nowMillis) {
        for (PromptPart part : prompt) {
            Kept before = parts.put(part.id(), new Kept(part.tokens(), nowMillis));
            keptTokens += part.tokens() - (before == null ? 0 : before.tokens());
        }
        Iterator<Map.Entry<Long, Kept>> oldest = parts.entrySet().iterator();
        while (keptTokens > capacityTokens && oldest.hasNext()) {
            keptTokens -= oldest.next().getValue().tokens();
            oldest.remove();
        }
    }

    /** Returns the tokens at the start of a prompt that need not be read again. */
    int keptTokens(List<PromptPart> prompt) {
        int tokens = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.id())) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }
}
