package org.cactusshift.internal.coordination.configsync;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.KeyId;

/**
 * The small value that says which configuration is accepted; replaced by compare-and-swap.
 *
 * @param version the version, one more than the one before
 * @param indexKey the store key of the index
 * @param indexDigest the SHA-256 of the index, in base64 without padding
 * @param delta how the index differs from that of the version before; empty when the list would be long
 * @param author who made the change
 * @param acceptedEpochMillis when it was made, wall clock of the author
 * @param comment why it was made
 * @param writerToken a text unique to the attempt that wrote it, by which a lost answer is resolved
 * @param withdrawnKeys the keys withdrawn most recently, newest first; they are refused before the parts are read
 */
public record ConfigHead(
        long version,
        String indexKey,
        String indexDigest,
        Optional<ConfigIndexDelta> delta,
        String author,
        long acceptedEpochMillis,
        String comment,
        String writerToken,
        List<KeyId> withdrawnKeys) {
    /** Checks that no part is missing and copies the list. */
    public ConfigHead {
        Objects.requireNonNull(indexKey, "indexKey");
        Objects.requireNonNull(indexDigest, "indexDigest");
        Objects.requireNonNull(delta, "delta");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(comment, "comment");
        Objects.requireNonNull(writerToken, "writerToken");
        withdrawnKeys = List.copyOf(withdrawnKeys);
    }
}
