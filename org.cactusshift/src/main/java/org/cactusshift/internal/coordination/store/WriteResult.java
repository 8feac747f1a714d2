package org.cactusshift.internal.coordination.store;

import java.util.Optional;
import org.cactusshift.errors.Failure;

/**
 * The result of a write by a {@link ConclusiveWriter}.
 *
 * @param outcome the resolved outcome
 * @param revision the revision of the write when it is known to have been applied, else 0; for a deletion that found
 *     the key deleted by another, the store's revision at that time
 * @param current the value last read when it is not the one written; empty when the key is absent or was not read
 * @param failure the last failure of a store call; empty when it did not affect the outcome
 */
public record WriteResult(Outcome outcome, long revision, Optional<VersionedValue> current, Optional<Failure> failure) {
    /** The outcome of a write. */
    public enum Outcome {
        /** The write was applied; no later write is known. */
        APPLIED,
        /** The write was applied, and a later write has replaced it since. */
        REPLACED,
        /** The write was not applied and can't be applied any more, or an update left the key unchanged. */
        NOT_APPLIED,
        /** The write may have been applied or may still be applied. */
        UNKNOWN
    }

    static WriteResult applied(long revision) {
        return new WriteResult(Outcome.APPLIED, revision, Optional.empty(), Optional.empty());
    }

    static WriteResult replaced(long revision, Optional<VersionedValue> current) {
        return new WriteResult(Outcome.REPLACED, revision, current, Optional.empty());
    }

    static WriteResult conflict(Optional<VersionedValue> current) {
        return new WriteResult(Outcome.NOT_APPLIED, 0, current, Optional.empty());
    }

    static WriteResult failed(Failure failure) {
        return new WriteResult(Outcome.NOT_APPLIED, 0, Optional.empty(), Optional.of(failure));
    }

    static WriteResult unknown(Optional<VersionedValue> current, Optional<Failure> failure) {
        return new WriteResult(Outcome.UNKNOWN, 0, current, failure);
    }

    /**
     * Returns whether the write was applied, whether or not it was replaced since.
     *
     * @return true for {@link Outcome#APPLIED} and {@link Outcome#REPLACED}
     */
    public boolean isApplied() {
        return outcome == Outcome.APPLIED || outcome == Outcome.REPLACED;
    }

    /**
     * Returns whether another write was applied first, so that the caller may read the key and try again.
     *
     * @return true when the write was not applied because of the current value, also when an update left the key
     *     unchanged
     */
    public boolean isConflict() {
        return outcome == Outcome.NOT_APPLIED && failure.isEmpty();
    }
}
