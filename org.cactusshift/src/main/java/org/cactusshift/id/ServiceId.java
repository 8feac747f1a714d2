package org.cactusshift.id;

/**
 * Identifies a service, either a model or a plain service.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public ServiceId {
        Identifiers.check(value, "service id");
    }

    /**
     * Returns the service id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static ServiceId fromString(String value) {
        return new ServiceId(value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceId that && value.equals(that.value);
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
