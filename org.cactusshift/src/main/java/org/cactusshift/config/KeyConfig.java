package org.cactusshift.config;

import org.cactusshift.id.KeyId;

/**
 * The configuration of a client key, of which only the hash is stored.
 *
 * @param id the public part of the key, which callers send before the last dot
 * @param hash the keyed hash of the secret part of the key, as {@code hmac-sha256:HEX}
 * @param withdrawn whether the key has been revoked
 */
public record KeyConfig(KeyId id, String hash, boolean withdrawn) {}
