package org.cactusshift.id;

/**
 * Identifies a client key: its public part, which does not reveal its secret.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record KeyId(String value) implements Comparable<KeyId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
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
