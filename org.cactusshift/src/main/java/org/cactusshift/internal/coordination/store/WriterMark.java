package org.cactusshift.internal.coordination.store;

import java.util.Objects;

/**
 * The mark that each conclusive write leaves in its value.
 *
 * @param writerToken unique to the write
 * @param baseRevision the revision of the write that it replaced; 0 when the key was absent
 */
public record WriterMark(String writerToken, long baseRevision) {
    /** Checks the form of the token. */
    public WriterMark {
        Objects.requireNonNull(writerToken, "writerToken");
        if (writerToken.isEmpty() || !writerToken.chars().allMatch(Character::isLetterOrDigit)) {
            throw new IllegalArgumentException("a writer token consists of letters and digits");
        }
    }
}
