package org.cactusshift.internal.coordination.store;

import java.util.Optional;
import org.cactusshift.errors.Failure;

/**
 * What became of a conclusive write.
 *
 * @param outcome the conclusion
 * @param revision the revision of the write when it is known to have been applied, else 0
 * @param current the value that stood in its way, as stored; empty when there is none or it is not known
 * @param failure the last failure of a call; empty when none matters
 */
public record WriteResult(Outcome outcome, long revision, Optional<VersionedValue> current, Optional<Failure> failure) {
    /** The conclusion about a write. */
    public enum Outcome {
        /** It was applied, and was in force when last seen. */
        APPLIED,
        /** It was applied, and a later write has replaced it since. */
        REPLACED,
        /** It was not applied and can't be applied any more. */
        NOT_APPLIED,
        /** It may have been applied, or may still be. */
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
     * Tells whether the write was applied, in force still or not.
     *
     * @return true for {@link Outcome#APPLIED} and {@link Outcome#REPLACED}
     */
    public boolean isApplied() {
        return outcome == Outcome.APPLIED || outcome == Outcome.REPLACED;
    }

    /**
     * Tells whether another write came first, so that reading and trying again makes sense.
     *
     * @return true when it was not applied because of the value found
     */
    public boolean isConflict() {
        return outcome == Outcome.NOT_APPLIED && failure.isEmpty();
    }
}
