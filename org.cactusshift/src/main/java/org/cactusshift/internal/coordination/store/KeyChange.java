package org.cactusshift.internal.coordination.store;

import java.util.Objects;
import java.util.Optional;

/**
 * One change of one key.
 *
 * @param key the full key
 * @param value the new value; empty when the key was deleted or its lease ended
 * @param revision the store revision of the change; the deletions of one lease share a revision
 */
public record KeyChange(String key, Optional<VersionedValue> value, long revision) {
    /** Checks that no part is missing. */
    public KeyChange {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
