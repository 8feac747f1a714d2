package org.cactusshift.internal.coordination.order;

import java.util.Optional;

/**
 * The state of one outstanding order at the holder of its duty.
 *
 * <p>An abandoned call is one that failed without a known effect, such as by a timeout; it may still reach the target.
 *
 * @param order the order
 * @param phase the phase of the order
 * @param notBeforeMillis the earliest time of the next action, monotonic
 * @param inFlightUntilMillis the time until which an abandoned call may still reach the target, monotonic; {@link
 *     Long#MIN_VALUE} when there is none
 * @param result the final result, once the order has ended
 */
public record OrderState(
        Order order, Phase phase, long notBeforeMillis, long inFlightUntilMillis, Optional<OrderResult> result) {
    /** The phase of an order. */
    public enum Phase {
        /** The order is not confirmed to be in the durable record; nothing was sent. */
        RECORDING,
        /** The order is in the record; the target must be asked whether it received the order. */
        PROBING,
        /** The order is in the record and must be sent. */
        SENDING,
        /** The target has accepted the order. */
        RUNNING,
        /** The order has ended; an abandoned call may still be in flight. */
        SETTLING,
        /** The order must be removed from the record. */
        CLEARING,
        /** The order is removed from the record; the next order may be submitted. */
        CLEARED
    }

    OrderState transitionTo(Phase next, long nextNotBeforeMillis) {
        return new OrderState(order, next, nextNotBeforeMillis, inFlightUntilMillis, result);
    }

    OrderState withInFlightUntil(long untilMillis) {
        return new OrderState(order, phase, notBeforeMillis, Math.max(inFlightUntilMillis, untilMillis), result);
    }

    OrderState withResult(OrderResult finalResult) {
        return new OrderState(order, phase, notBeforeMillis, inFlightUntilMillis, Optional.of(finalResult));
    }

    /**
     * Returns whether the next write of the durable record must contain the order.
     *
     * @return false once the order must be removed
     */
    public boolean belongsInRecord() {
        return phase != Phase.CLEARING && phase != Phase.CLEARED;
    }
}
