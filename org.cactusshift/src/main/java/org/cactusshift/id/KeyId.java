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

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof KeyId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
