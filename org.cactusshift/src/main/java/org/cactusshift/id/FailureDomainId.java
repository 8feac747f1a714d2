package org.cactusshift.id;

/**
 * Identifies a failure domain of a site.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public FailureDomainId {
        Identifiers.check(value, "failure domain id");
    }

    /**
     * Returns the failure domain id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static FailureDomainId fromString(String value) {
        return new FailureDomainId(value);
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomainId that && value.equals(that.value);
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
