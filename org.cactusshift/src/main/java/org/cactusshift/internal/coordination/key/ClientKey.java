package org.cactusshift.internal.coordination.key;

import java.util.Optional;
import org.cactusshift.id.KeyId;

/**
 * A client key in clear, of the form {@code cs-KEYID.SECRET}.
 *
 * @param id the public part
 * @param secret the secret part
 */
public record ClientKey(KeyId id, String secret) {
    private static final String PREFIX = "cs-";
    private static final int MAXIMUM_LENGTH_CHARS = 512;

    /**
     * Splits a presented key at its last dot.
     *
     * @param text the text after {@code Bearer }
     * @return the key, or empty when the text has not the form of a key
     */
    public static Optional<ClientKey> parse(String text) {
        int dot = text.lastIndexOf('.');
        boolean formed = text.length() <= MAXIMUM_LENGTH_CHARS
                && text.startsWith(PREFIX)
                && dot > PREFIX.length()
                && dot < text.length() - 1;
        if (!formed) {
            return Optional.empty();
        }
        try {
            KeyId id = KeyId.fromString(text.substring(PREFIX.length(), dot));
            return Optional.of(new ClientKey(id, text.substring(dot + 1)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the text that the caller presents; must never be logged.
     *
     * @return the key in clear
     */
    public String toBearer() {
        return PREFIX + id + "." + secret;
    }

    /** Returns the key without its secret. */
    @Override
    public String toString() {
        return PREFIX + id + ".(secret)";
    }
}
