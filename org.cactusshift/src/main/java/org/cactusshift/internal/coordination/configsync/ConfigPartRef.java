package org.cactusshift.internal.coordination.configsync;

import java.util.Objects;

/**
 * The place and the digest of one part of a configuration.
 *
 * @param name the name of the part, such as {@code accounts-00003}
 * @param writer the version that wrote the part and its writer's token, which complete the store key
 * @param digest the SHA-256 of the bytes, in base64 without padding
 */
public record ConfigPartRef(String name, String writer, String digest) {
    /** Checks that no part is missing. */
    public ConfigPartRef {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(writer, "writer");
        Objects.requireNonNull(digest, "digest");
    }
}
