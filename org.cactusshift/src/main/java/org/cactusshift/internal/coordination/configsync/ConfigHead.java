package org.cactusshift.internal.coordination.configsync;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.KeyId;

/**
 * The stored value that identifies the accepted configuration; replaced by compare-and-swap.
 *
 * @param version the version, one more than the previous one
 * @param indexKey the store key of the index
 * @param indexDigest the SHA-256 of the index, in URL-safe base64 without padding
 * @param delta the difference to the index of the previous version; empty when it would have more than 16
 *     changed and removed parts
 * @param author the operator who made the change
 * @param acceptedEpochMillis the time of the change, by the wall clock of the author
 * @param comment the reason for the change
 * @param writerToken a random text unique to the command that wrote this head; a command that lost the store's response
 *     recognises its own head by it
 * @param withdrawnKeys at most 64 of the most recently revoked keys, newest first; nodes revoke them before they read
 *     the parts
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
    /** Checks that no component is null and copies the list. */
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
