package org.cactusshift.internal.coordination.configsync;

import java.util.List;

/**
 * The answer to a change of the configuration.
 *
 * @param outcome whether the change was accepted
 * @param version the version that is accepted now
 * @param differences for a conflict, how the accepted configuration differs from the proposed one; else empty
 */
public record ApplyResult(Outcome outcome, long version, List<ConfigDifference> differences) {
    /** Whether a change was accepted. */
    public enum Outcome {
        /** The change is accepted. */
        APPLIED,
        /** The proposed configuration equals the accepted one; nothing was written. */
        UNCHANGED,
        /** The change was made against a version that is no longer the accepted one; nothing was changed. */
        CONFLICT
    }

    /** Copies the list. */
    public ApplyResult {
        differences = List.copyOf(differences);
    }

    static ApplyResult of(Outcome outcome, long version) {
        return new ApplyResult(outcome, version, List.of());
    }
}
