package org.cactusshift.internal.coordination.order;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.order.OrderState.Phase;
import org.cactusshift.internal.coordination.order.OrderTransport.Progress;
import org.cactusshift.internal.coordination.order.OrderTransport.SendResult;

/**
 * The state machine of orders at the holder of their duty, as pure functions of state, event and time.
 *
 * <p>An order is recorded durably before it is sent. A new holder of the duty sends nothing to a target that does not
 * check fencing numbers until the calls of its predecessor can no longer arrive, and then probes the target first. An
 * order is removed from the record, which permits the next order, only when no abandoned call of it can still arrive. A
 * late call therefore repeats the most recent order of the target, which is harmless.
 */
public final class OrderStateMachine {
    private final OrderTiming timing;
    private final long takenOverAtMillis;

    private OrderStateMachine(OrderTiming timing, long takenOverAtMillis) {
        this.timing = Objects.requireNonNull(timing, "timing");
        this.takenOverAtMillis = takenOverAtMillis;
    }

    /** The next action of the driver for an order. */
    public enum Action {
        /** No action at present. */
        NONE,
        /** Write the durable record. */
        WRITE,
        /** Read the progress of the order from the target. */
        PROBE,
        /** Send the order, if the duty is still held. */
        SEND
    }

    /**
     * Returns the state machine for the orders of a holder of the duty.
     *
     * @param timing the delays and intervals of orders
     * @param takenOverAtMillis when the holder opened the record, monotonic
     * @return the state machine
     */
    public static OrderStateMachine create(OrderTiming timing, long takenOverAtMillis) {
        return new OrderStateMachine(timing, takenOverAtMillis);
    }

    /**
     * Returns the initial state of a new order.
     *
     * @param order the order
     * @param nowMillis the current monotonic time
     * @return its state
     */
    public OrderState start(Order order, long nowMillis) {
        return new OrderState(order, Phase.RECORDING, nowMillis, Long.MIN_VALUE, Optional.empty());
    }

    /**
     * Returns the state of an outstanding order that the previous holder recorded.
     *
     * @param order the order
     * @return its state
     */
    public OrderState takeOver(Order order) {
        // It is not known whether the previous holder abandoned a call that may still arrive.
        long inFlightUntilMillis = takenOverAtMillis + timing.maximumFlightMillis();
        return new OrderState(order, Phase.PROBING, earliestSendMillis(order), inFlightUntilMillis, Optional.empty());
    }

    private long earliestSendMillis(Order order) {
        return order.checksFencing() ? takenOverAtMillis : takenOverAtMillis + timing.takeOverDelayMillis();
    }

    /**
     * Returns the next action for an order.
     *
     * @param state the state
     * @param nowMillis the current monotonic time
     * @return the action
     */
    public Action nextAction(OrderState state, long nowMillis) {
        if (nowMillis < state.notBeforeMillis()) {
            return Action.NONE;
        }
        return switch (state.phase()) {
            case RECORDING, CLEARING -> Action.WRITE;
            case PROBING, RUNNING, SETTLING -> Action.PROBE;
            case SENDING -> Action.SEND;
            case CLEARED -> Action.NONE;
        };
    }

    /**
     * Records that the durable record was written and reflects the state.
     *
     * @param state the state at the time of the write
     * @param nowMillis the current monotonic time
     * @return the new state
     */
    public OrderState onRecordWritten(OrderState state, long nowMillis) {
        return switch (state.phase()) {
            case RECORDING -> state.transitionTo(Phase.SENDING, Math.max(nowMillis, earliestSendMillis(state.order())));
            case CLEARING -> state.transitionTo(Phase.CLEARED, nowMillis);
            default -> state;
        };
    }

    /**
     * Applies the result of sending the order.
     *
     * @param state the state
     * @param result the result, or the failure
     * @param nowMillis the current monotonic time
     * @return the new state
     */
    public OrderState onSent(OrderState state, Either<Failure, SendResult> result, long nowMillis) {
        if (result.isLeft()) {
            boolean mayArrive = result.getLeft().kind() == Failure.Kind.UNKNOWN_EFFECT;
            OrderState updated = mayArrive ? state.withInFlightUntil(nowMillis + timing.maximumFlightMillis()) : state;
            return updated.transitionTo(Phase.PROBING, nowMillis + timing.retryDelayMillis());
        }
        return switch (result.get()) {
            case ACCEPTED -> state.transitionTo(Phase.RUNNING, nowMillis + timing.pollIntervalMillis());
            // The order was not accepted; it is probed, and sent again if the target has not received it.
            case BUSY, STALE_FENCING_NUMBER -> state.transitionTo(Phase.PROBING, nowMillis + timing.retryDelayMillis());
            case REFUSED -> end(state, OrderResult.REFUSED, nowMillis);
        };
    }

    /**
     * Applies the progress that the target reports.
     *
     * @param state the state
     * @param progress the reported progress, or the failure
     * @param nowMillis the current monotonic time
     * @return the new state
     */
    public OrderState onProbed(OrderState state, Either<Failure, Progress> progress, long nowMillis) {
        if (progress.isLeft()) {
            return state.transitionTo(state.phase(), nowMillis + timing.retryDelayMillis());
        }
        return switch (progress.get()) {
            case RUNNING -> state.transitionTo(Phase.RUNNING, nowMillis + timing.pollIntervalMillis());
            case DONE -> end(state, OrderResult.DONE, nowMillis);
            case FAILED -> end(state, OrderResult.FAILED, nowMillis);
            case NOT_RECEIVED ->
                state.phase() == Phase.SETTLING
                        ? end(state, state.result().orElse(OrderResult.FAILED), nowMillis)
                        : state.transitionTo(Phase.SENDING, nowMillis);
        };
    }

    /**
     * Ends an order. It is removed from the record at once, unless an abandoned call of it may still arrive: then it
     * stays in the record until that is over, and is probed once more.
     */
    private static OrderState end(OrderState state, OrderResult result, long nowMillis) {
        OrderState ended = state.withResult(result);
        return nowMillis >= state.inFlightUntilMillis()
                ? ended.transitionTo(Phase.CLEARING, nowMillis)
                : ended.transitionTo(Phase.SETTLING, state.inFlightUntilMillis());
    }
}
