package org.cactusshift.internal.coordination.store;

import java.util.Optional;

/**
 * The result of a compare-and-swap or compare-and-delete.
 *
 * @param outcome whether the change was applied
 * @param revision the revision of the change when applied, else the store's current revision
 * @param current the value found when the comparison failed; empty when the change was applied or the key is absent
 */
public record SwapResult(Outcome outcome, long revision, Optional<VersionedValue> current) {
    /** Whether the change was applied. */
    public enum Outcome {
        /** The comparison succeeded; the key was written or deleted. */
        APPLIED,
        /** The key's revision was not the expected one; nothing was changed. */
        CONFLICT
    }

    /**
     * Returns the result of an applied change.
     *
     * @param revision the revision of the change
     * @return the result
     */
    public static SwapResult applied(long revision) {
        return new SwapResult(Outcome.APPLIED, revision, Optional.empty());
    }

    /**
     * Returns the result of a failed comparison.
     *
     * @param revision the store's current revision
     * @param current the value found
     * @return the result
     */
    public static SwapResult conflict(long revision, Optional<VersionedValue> current) {
        return new SwapResult(Outcome.CONFLICT, revision, current);
    }

    /**
     * Returns whether the change was applied.
     *
     * @return true when the key was written or deleted
     */
    public boolean isApplied() {
        return outcome == Outcome.APPLIED;
    }
}
