package org.cactusshift.config;

import org.cactusshift.id.KeyId;

/**
 * A client key, known only by its hash.
 *
 * @param id the public part of the key, sent as the part before the last dot
 * @param hash the keyed hash of the secret, as {@code hmac-sha256:HEX}
 * @param withdrawn whether the key has been withdrawn
 */
public record KeyConfig(KeyId id, String hash, boolean withdrawn) {}
