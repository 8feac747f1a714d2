package org.cactusshift.id;

/**
 * Identifies a client key; the public part, which does not reveal the secret.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record KeyId(String value) implements Comparable<KeyId> {
    /** Checks the form of the identifier. */
    public KeyId {
        Identifiers.check(value, "key id");
    }

    /**
     * Returns the key id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static KeyId fromString(String value) {
        return new KeyId(value);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
