package org.cactusshift.internal.coordination.configsync;

import java.util.Objects;

/**
 * One place in which two configurations differ.
 *
 * @param pointer the JSON pointer of the value
 * @param accepted the value in the accepted configuration, as JSON; empty when absent
 * @param proposed the value in the other one, as JSON; empty when absent
 */
public record ConfigDifference(String pointer, String accepted, String proposed) {
    /** Checks that no part is missing. */
    public ConfigDifference {
        Objects.requireNonNull(pointer, "pointer");
        Objects.requireNonNull(accepted, "accepted");
        Objects.requireNonNull(proposed, "proposed");
    }
}
