package org.cactusshift.internal.coordination.store;

import java.util.Objects;

/**
 * A value in the key-value service with the revisions that the service gave it.
 *
 * @param key the full key
 * @param value the bytes, at most one megabyte
 * @param createRevision the store revision at which the key came into being
 * @param modRevision the store revision of the last write, used as the expected value of a compare-and-swap
 */
public record VersionedValue(String key, byte[] value, long createRevision, long modRevision) {
    /** Checks that no part is missing. */
    public VersionedValue {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
