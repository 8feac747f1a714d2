package org.cactusshift.internal.coordination.key;

import java.util.Optional;
import org.cactusshift.id.KeyId;

/**
 * A client key, which is an API key of a client account, in clear text, of the form {@code cs-KEYID.SECRET}.
 *
 * @param id the id of the key, which is public
 * @param secret the secret part
 */
public record ClientKey(KeyId id, String secret) {
    private static final String PREFIX = "cs-";
    private static final int MAXIMUM_LENGTH_CHARS = 512;

    /**
     * Parses a presented key, splitting it at the last dot.
     *
     * @param text the text after {@code Bearer }
     * @return the key; empty when the text is malformed
     */
    public static Optional<ClientKey> parse(String text) {
        int dot = text.lastIndexOf('.');
        boolean wellFormed = text.length() <= MAXIMUM_LENGTH_CHARS
                && text.startsWith(PREFIX)
                && dot > PREFIX.length()
                && dot < text.length() - 1;
        if (!wellFormed) {
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
     * Returns the bearer token that the caller presents; must never be logged.
     *
     * @return the key in clear text
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
