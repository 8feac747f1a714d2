package org.cactusshift.errors;

import java.util.Objects;

/**
 * A configuration problem.
 *
 * @param file the file that set the invalid value
 * @param pointer the JSON pointer (RFC 6901) of the value in that file; empty for the whole document
 * @param reason a description of the problem for operators
 */
public record ConfigProblem(String file, String pointer, String reason) {
    /** Checks that no component is null. */
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
