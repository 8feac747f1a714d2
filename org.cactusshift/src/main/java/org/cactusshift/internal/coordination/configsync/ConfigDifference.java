package org.cactusshift.internal.coordination.configsync;

import java.util.Objects;

/**
 * A value that differs between two configurations.
 *
 * @param pointer the JSON pointer of the value
 * @param accepted the value in the accepted configuration, as JSON; empty when absent
 * @param proposed the value in the proposed configuration, as JSON; empty when absent
 */
public record ConfigDifference(String pointer, String accepted, String proposed) {
    /** Checks that no component is null. */
    public ConfigDifference {
        Objects.requireNonNull(pointer, "pointer");
        Objects.requireNonNull(accepted, "accepted");
        Objects.requireNonNull(proposed, "proposed");
    }
}
