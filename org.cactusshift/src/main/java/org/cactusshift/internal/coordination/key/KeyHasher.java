package org.cactusshift.internal.coordination.key;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cactusshift.id.KeyId;

/**
 * Hashes client keys with HMAC-SHA-256 under the site's secret.
 *
 * <p>The hash also covers the key's id, so that the hash of one key can't be stored under the id of another. A fast
 * keyed hash is sufficient because the secrets are random and 256 bits long.
 */
public final class KeyHasher {
    private static final String ALGORITHM = "HmacSHA256";
    private static final String PREFIX = "hmac-sha256:";
    private static final int KEY_SECRET_BYTES = 32;

    private final SecretKeySpec siteSecret;

    private KeyHasher(SecretKeySpec siteSecret) {
        this.siteSecret = siteSecret;
    }

    /**
     * Creates a hasher.
     *
     * @param secretHex the site's secret, in hexadecimal
     * @return the hasher, which is thread-safe
     * @throws IllegalArgumentException if the text is empty or not hexadecimal
     */
    public static KeyHasher fromHex(String secretHex) {
        return new KeyHasher(new SecretKeySpec(HexFormat.of().parseHex(secretHex), ALGORITHM));
    }

    /**
     * Generates a random key, which is neither stored nor activated by that.
     *
     * @param id the id of the key
     * @param random the source of randomness for the secret
     * @return the key in clear text; shown once and stored nowhere
     */
    public static ClientKey generate(KeyId id, SecureRandom random) {
        byte[] bytes = new byte[KEY_SECRET_BYTES];
        random.nextBytes(bytes);
        return new ClientKey(id, Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
    }

    /**
     * Returns the hash that the configuration stores.
     *
     * @param key the key in clear text
     * @return the hash, as {@code hmac-sha256:HEX}
     */
    public String hash(ClientKey key) {
        return PREFIX + HexFormat.of().formatHex(mac(key));
    }

    /**
     * Decodes a stored hash.
     *
     * @param stored the hash, as {@code hmac-sha256:HEX}
     * @return the bytes
     * @throws IllegalArgumentException if the text is malformed
     */
    static byte[] decode(String stored) {
        if (!stored.startsWith(PREFIX)) {
            throw new IllegalArgumentException("key hash must have the form " + PREFIX + "HEX");
        }
        return HexFormat.of().parseHex(stored, PREFIX.length(), stored.length());
    }

    /**
     * Compares a key with a stored hash in constant time.
     *
     * @param key the key in clear text
     * @param hash the bytes of the stored hash
     * @return whether the key matches the hash
     */
    boolean matches(ClientKey key, byte[] hash) {
        return MessageDigest.isEqual(mac(key), hash);
    }

    private byte[] mac(ClientKey key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(siteSecret);
            return mac.doFinal((key.id() + "." + key.secret()).getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime does not provide " + ALGORITHM, e);
        }
    }
}
