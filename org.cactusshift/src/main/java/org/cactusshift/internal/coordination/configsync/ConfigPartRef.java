package org.cactusshift.internal.coordination.configsync;

import java.util.Objects;

/**
 * A reference to one part of a configuration in the store.
 *
 * @param name the name of the part, such as {@code accounts-00003}
 * @param writer the version and the writer token with which the part was written; completes the store key
 * @param digest the SHA-256 of the bytes, in URL-safe base64 without padding
 */
public record ConfigPartRef(String name, String writer, String digest) {
    /** Checks that no component is null. */
    public ConfigPartRef {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(digest, "digest");
    }
}
