package org.cactusshift.errors;

import java.util.Objects;

/**
 * One fault in a configuration.
 *
 * @param file the file from which the faulty value came
 * @param pointer the JSON pointer (RFC 6901) of the value in that file; empty for the whole document
 * @param reason what is wrong, for an operator
 */
public record ConfigProblem(String file, String pointer, String reason) {
    /** Checks that no part is missing. */
    public ConfigProblem {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(pointer, "pointer");
        Objects.requireNonNull(reason, "reason");
    }

    @Override
    public String toString() {
        return file + "#" + pointer + ": " + reason;
    }
}
