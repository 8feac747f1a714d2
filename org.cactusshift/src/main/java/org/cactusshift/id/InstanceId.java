package org.cactusshift.id;

/**
 * Identifies an instance on which a node runs.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public InstanceId {
        Identifiers.check(value, "instance id");
    }

    /**
     * Returns the instance id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static InstanceId fromString(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof InstanceId that && value.equals(that.value);
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
