package org.cactusshift.internal.coordination.serving;

import org.cactusshift.id.UpstreamId;

/**
 * The use of a long prompt part at an engine, which nodes tell each other.
 *
 * @param upstream the engine
 * @param part the part
 */
public record PromptPartUse(UpstreamId upstream, PromptPart part) {
    /** Shorter parts are read again rather than told and fetched. */
    private static final int SHORTEST_TOKENS = 1_024;

    /**
     * Returns whether nodes tell each other of a part.
     *
     * @param part the part
     * @return whether it is long enough
     */
    public static boolean isAdvertised(PromptPart part) {
        return part.tokens() >= SHORTEST_TOKENS;
    }
}
