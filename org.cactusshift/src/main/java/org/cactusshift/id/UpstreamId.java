package org.cactusshift.id;

/**
 * Identifies an upstream: a model engine or an instance of a plain service.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public UpstreamId {
        Identifiers.check(value, "upstream id");
    }

    /**
     * Returns the upstream id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static UpstreamId fromString(String value) {
        return new UpstreamId(value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamId that && value.equals(that.value);
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
