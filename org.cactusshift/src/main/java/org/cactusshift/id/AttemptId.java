package org.cactusshift.id;

/**
 * Identifies one attempt: one send of a request to one upstream.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record AttemptId(String value) implements Comparable<AttemptId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public AttemptId {
        Identifiers.check(value, "attempt id");
    }

    /**
     * Returns the attempt id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static AttemptId fromString(String value) {
        return new AttemptId(value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof AttemptId that && value.equals(that.value);
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
