package org.cactusshift.internal.coordination.store;

import java.util.Objects;
import java.util.Optional;

/**
 * A change of one key.
 *
 * @param key the full key
 * @param value the new value; empty when the key was deleted, also by the end of its lease
 * @param revision the store revision of the change; all deletions by the end of one lease share a revision
 */
public record KeyChange(String key, Optional<VersionedValue> value, long revision) {
    /** Checks that no component is null. */
    public KeyChange {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
