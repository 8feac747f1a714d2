package org.cactusshift.internal.coordination.configsync;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;

/** Computes digests of stored bytes. */
final class Digests {
    private Digests() {}

    /** Returns the SHA-256 digest in URL-safe base64 without padding. */
    static String sha256(byte[] bytes) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
            return Base64.getUrlEncoder().withoutPadding().encodeToString(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the JDK lacks SHA-256", e);
        }
    }
}
