package org.cactusshift.internal.coordination.serving;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Objects;

/**
 * The secret by which a node recognises requests of its peers. The node writes it to the platform's store, which only
 * nodes of the site can read.
 *
 * @param value the secret
 */
public record PeerToken(String value) {
    private static final int RANDOM_BYTES = 16;

    /** Checks that the value is not null. */
    public PeerToken {
        Objects.requireNonNull(value, "value");
    }

    /**
     * Returns a new token.
     *
     * @param random the source of randomness
     * @return the token
     */
    public static PeerToken random(SecureRandom random) {
        byte[] bytes = new byte[RANDOM_BYTES];
        random.nextBytes(bytes);
        return new PeerToken(HexFormat.of().formatHex(bytes));
    }

    /**
     * Returns whether a text is this token; takes the same time for each text of the same length.
     *
     * @param text the text; null when there is none
     * @return whether it is the token
     */
    public boolean matches(String text) {
        return text != null
                && MessageDigest.isEqual(value.getBytes(StandardCharsets.UTF_8), text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return "PeerToken[secret]";
    }
}
