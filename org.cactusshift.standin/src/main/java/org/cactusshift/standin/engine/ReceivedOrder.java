package org.cactusshift.standin.engine;

/**
 * One order that an engine received.
 *
 * @param orderId the order
 * @param fencingNumber the fencing number that it carried
 * @param kind what it asks for
 * @param receivedAtMillis when, in milliseconds since 1970
 * @param highestFencingNumber the highest fencing number received before it
 * @param decision what the engine did
 */
public record ReceivedOrder(
        String orderId,
        long fencingNumber,
        String kind,
        long receivedAtMillis,
        long highestFencingNumber,
        Decision decision) {
    /** What an engine did with an order. */
    public enum Decision {
        /** It runs the order. */
        ACCEPTED,
        /** It had received the order before and did nothing. */
        REPEATED,
        /** It rejected an old fencing number. */
        STALE,
        /** It rejected an order because another one runs. */
        BUSY,
        /** It could not read the order. */
        MALFORMED
    }

    /**
     * Tells whether the order took effect although its sender had lost its authority.
     *
     * @return true for an accepted order with an old fencing number
     */
    public boolean isAcceptedWithStaleFencingNumber() {
        return decision == Decision.ACCEPTED && fencingNumber < highestFencingNumber;
    }

    /**
     * Tells whether the order conflicts with one that runs.
     *
     * @return true when another order was outstanding
     */
    public boolean isConflicting() {
        return decision == Decision.BUSY;
    }
}
