package org.cactusshift.id;

/**
 * Identifies a request received from a caller.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public RequestId {
        Identifiers.check(value, "request id");
    }

    /**
     * Returns the request id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static RequestId fromString(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof RequestId that && value.equals(that.value);
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
