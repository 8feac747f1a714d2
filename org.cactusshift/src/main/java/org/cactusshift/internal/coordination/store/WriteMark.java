package org.cactusshift.internal.coordination.store;

import java.util.Objects;

/**
 * The mark that each write by a {@link ConclusiveWriter} adds to its value.
 *
 * @param writerToken a token unique to the write
 * @param baseRevision the mod revision of the value that it replaced; 0 when the key was absent
 */
public record WriteMark(String writerToken, long baseRevision) {
    /** Checks that the token consists of letters and digits. */
    public WriteMark {
        Objects.requireNonNull(writerToken, "writerToken");
        if (writerToken.isEmpty() || !writerToken.chars().allMatch(Character::isLetterOrDigit)) {
            throw new IllegalArgumentException(
                    "writer token is empty or contains characters other than letters and digits");
        }
    }
}
