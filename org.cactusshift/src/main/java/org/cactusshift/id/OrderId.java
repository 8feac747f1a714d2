package org.cactusshift.id;

/**
 * Identifies an order to an engine, or to the platform for upstreams.
 *
 * @param value the identifier, 1 to 128 characters of letters, digits, '.', '_', ':' and '-'
 */
public record OrderId(String value) implements Comparable<OrderId> {
    /** Checks the form of the identifier. */
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

    @Override
    public String toString() {
        return value;
    }
}
