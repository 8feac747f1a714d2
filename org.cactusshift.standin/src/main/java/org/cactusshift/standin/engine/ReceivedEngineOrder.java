package org.cactusshift.standin.engine;

/**
 * An order that an engine received, that is, a command to change its role or load a model version or adapter.
 *
 * @param orderId the id of the order; empty when absent
 * @param fencingNumber the fencing number in the order; -1 when absent
 * @param kind the kind of order; empty when absent
 * @param receivedAtMillis the time of receipt, in milliseconds since 1970 (UTC)
 * @param highestFencingNumber the highest fencing number accepted before it since the engine started; 0 if there was
 *     none
 * @param decision how the engine handled the order
 */
public record ReceivedEngineOrder(
        String orderId,
        long fencingNumber,
        String kind,
        long receivedAtMillis,
        long highestFencingNumber,
        Decision decision) {
    /** How an engine handled an order. */
    public enum Decision {
        /** The engine accepted the order and runs it. */
        ACCEPTED,
        /** The engine had accepted the order before and ignored the repetition. */
        REPEATED,
        /** The engine rejected the order for its stale fencing number. */
        STALE,
        /** The engine rejected the order because another one is outstanding. */
        BUSY,
        /** The engine rejected the order as malformed. */
        MALFORMED
    }

    /**
     * Returns whether the order took effect although its fencing number was stale.
     *
     * @return true for an accepted order with a fencing number below the highest one
     */
    public boolean isAcceptedWithStaleFencingNumber() {
        return decision == Decision.ACCEPTED && fencingNumber < highestFencingNumber;
    }

    /**
     * Returns whether the order conflicted with the outstanding order.
     *
     * @return true when another order was outstanding
     */
    public boolean isConflicting() {
        return decision == Decision.BUSY;
    }
}
