package org.cactusshift.internal.coordination.order;

import java.util.Optional;

/**
 * The state of one outstanding order at the holder of its duty.
 *
 * @param order the order
 * @param phase how far it has come
 * @param notBeforeMillis when the next call is due
 * @param inFlightUntilMillis until when bytes of a call that was given up may still reach the target
 * @param result how it ended, once it has
 */
public record OrderState(
        Order order, Phase phase, long notBeforeMillis, long inFlightUntilMillis, Optional<OrderResult> result) {
    /** How far an order has come. */
    public enum Phase {
        /** It is not known to be in the durable record; nothing was sent. */
        RECORDING,
        /** It is in the record; it is to be learnt whether the target has it. */
        PROBING,
        /** It is in the record and is to be sent. */
        SENDING,
        /** The target has it. */
        RUNNING,
        /** It has ended; a call that was given up may still be in flight. */
        SETTLING,
        /** It is to be taken out of the record. */
        CLEARING,
        /** It is out of the record; the next order may come. */
        CLEARED
    }

    OrderState transitionTo(Phase next, long dueMillis) {
        return new OrderState(order, next, dueMillis, inFlightUntilMillis, result);
    }

    OrderState inFlightUntil(long untilMillis) {
        return new OrderState(order, phase, notBeforeMillis, Math.max(inFlightUntilMillis, untilMillis), result);
    }

    OrderState ended(OrderResult ending) {
        return new OrderState(order, phase, notBeforeMillis, inFlightUntilMillis, Optional.of(ending));
    }

    /**
     * Tells whether the order belongs in the durable record.
     *
     * @return false once it is to be taken out
     */
    public boolean isRecorded() {
        return phase != Phase.CLEARING && phase != Phase.CLEARED;
    }
}
