package org.cactusshift.internal.coordination.configsync;

import java.util.Objects;

/**
 * The place and the digest of one part of a configuration.
 *
 * @param name the name of the part, such as {@code accounts-003}
 * @param key the store key
 * @param digest the SHA-256 of the bytes, as hex
 */
public record ConfigPartRef(String name, String key, String digest) {
    /** Checks that no part is missing. */
    public ConfigPartRef {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(digest, "digest");
    }
}
