package org.cactusshift.internal.coordination.store;

import java.util.Optional;

/**
 * The answer to a compare-and-swap.
 *
 * @param outcome whether the swap was applied
 * @param revision the revision of the write when applied, else the store's current revision
 * @param current the value found when the comparison failed; empty when the key is absent
 */
public record SwapResult(Outcome outcome, long revision, Optional<VersionedValue> current) {
    /** Whether a compare-and-swap was applied. */
    public enum Outcome {
        /** The value was written. */
        APPLIED,
        /** The key's revision was not the expected one; nothing was written. */
        CONFLICT
    }

    /**
     * Returns the answer of an applied swap.
     *
     * @param revision the revision of the write
     * @return the result
     */
    public static SwapResult applied(long revision) {
        return new SwapResult(Outcome.APPLIED, revision, Optional.empty());
    }

    /**
     * Returns the answer of a refused swap.
     *
     * @param revision the store's current revision
     * @param current the value found
     * @return the result
     */
    public static SwapResult conflict(long revision, Optional<VersionedValue> current) {
        return new SwapResult(Outcome.CONFLICT, revision, current);
    }

    /**
     * Tells whether the swap was applied.
     *
     * @return true when the value was written
     */
    public boolean isApplied() {
        return outcome == Outcome.APPLIED;
    }
}
