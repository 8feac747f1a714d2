package org.cactusshift.internal.coordination.serving;

import org.cactusshift.id.UpstreamId;

/**
 * The use of a long prompt part at an engine, which nodes advertise to each other.
 *
 * @param upstream the engine
 * @param part the part
 */
public record PromptPartUse(UpstreamId upstream, PromptPart part) {
    /** Shorter parts are not worth advertising and transferring; an engine prefills them again. */
    private static final int MINIMUM_ADVERTISED_TOKENS = 1_024;

    /**
     * Returns whether nodes advertise the uses of a part of this length.
     *
     * @param part the part
     * @return whether it is long enough
     */
    public static boolean isAdvertised(PromptPart part) {
        return part.tokens() >= MINIMUM_ADVERTISED_TOKENS;
    }
}
