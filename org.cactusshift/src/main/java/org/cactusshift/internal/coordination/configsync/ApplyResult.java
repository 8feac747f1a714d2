package org.cactusshift.internal.coordination.configsync;

import java.util.List;

/**
 * The result of a change of the configuration.
 *
 * @param outcome the outcome of the change
 * @param version the version of the accepted configuration after the call
 * @param differences for a conflict, the differences between the accepted and the proposed configuration; else empty
 */
public record ApplyResult(Outcome outcome, long version, List<ConfigDifference> differences) {
    /** The outcome of a change. */
    public enum Outcome {
        /** The change was accepted. */
        APPLIED,
        /** The proposed configuration equals the accepted one; nothing was written. */
        UNCHANGED,
        /** The base version of the change is not the accepted version; nothing was changed. */
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
