package org.cactusshift.id;

/**
 * Identifies an order: a command to an engine, or a request to the platform to provide or release upstreams.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record OrderId(String value) implements Comparable<OrderId> {
    /** Throws IllegalArgumentException if the text is empty, too long or has other characters. */
    public OrderId {
        Identifiers.check(value, "order id");
    }

    /**
     * Returns the order id with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     * @throws IllegalArgumentException if the text is empty, too long or has other characters
     */
    public static OrderId fromString(String value) {
        return new OrderId(value);
    }

    @Override
    public int compareTo(OrderId other) {
        return value.compareTo(other.value);
    }

    // The methods that are generated for a record are linked at run time, which is slow at the start of a node.
    @Override
    public boolean equals(Object other) {
        return other instanceof OrderId that && value.equals(that.value);
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
