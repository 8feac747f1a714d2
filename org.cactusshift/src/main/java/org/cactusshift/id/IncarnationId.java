package org.cactusshift.id;

/**
 * Identifies one incarnation of a node; a restarted node has a new incarnation.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record IncarnationId(String value) implements Comparable<IncarnationId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public IncarnationId {
        Identifiers.check(value, "incarnation id");
    }

    /**
     * Returns the incarnation id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static IncarnationId fromString(String value) {
        return new IncarnationId(value);
    }

    @Override
    public int compareTo(IncarnationId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof IncarnationId that && value.equals(that.value);
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
