package org.cactusshift.internal.coordination.store;

import java.util.Objects;

/**
 * A value in the key-value store with its revisions.
 *
 * @param key the full key
 * @param value the bytes; the store's limit of one megabyte is not checked here
 * @param createRevision the store revision at which the key was created
 * @param modRevision the store revision of the last write, used as the expected value of a compare-and-swap
 */
public record VersionedValue(String key, byte[] value, long createRevision, long modRevision) {
    /** Checks that no component is null. */
    public VersionedValue {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
