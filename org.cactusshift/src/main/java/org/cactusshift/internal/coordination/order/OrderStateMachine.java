package org.cactusshift.internal.coordination.order;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.order.OrderState.Phase;
import org.cactusshift.internal.coordination.order.OrderTransport.Progress;
import org.cactusshift.internal.coordination.order.OrderTransport.SendResult;

/**
 * Decides about one order of one duty, as pure functions of state, event and time.
 *
 * <p>An order is recorded before it is sent. A new holder sends nothing to a target that does not check fencing numbers
 * until the calls of its predecessor can no longer arrive, and then asks the target first. An order leaves the record,
 * and makes room for the next one, only when no call of it that was given up can still arrive; so a late call repeats
 * an order that is still the last one, which is harmless.
 */
public final class OrderStateMachine {
    private final OrderTiming timing;
    private final long takenOverAtMillis;

    private OrderStateMachine(OrderTiming timing, long takenOverAtMillis) {
        this.timing = Objects.requireNonNull(timing, "timing");
        this.takenOverAtMillis = takenOverAtMillis;
    }

    /** What the driver has to do next for an order. */
    public enum Action {
        /** Nothing now. */
        NONE,
        /** Write the record. */
        WRITE,
        /** Ask the target what became of the order. */
        PROBE,
        /** Send the order, if the duty is still held. */
        SEND
    }

    /**
     * Returns the machine of a holder.
     *
     * @param timing the periods
     * @param takenOverAtMillis when the holder opened the record, monotonic
     * @return the machine
     */
    public static OrderStateMachine create(OrderTiming timing, long takenOverAtMillis) {
        return new OrderStateMachine(timing, takenOverAtMillis);
    }

    /**
     * Takes a new order.
     *
     * @param order the order
     * @param nowMillis the present time, monotonic
     * @return its state
     */
    public OrderState submit(Order order, long nowMillis) {
        return new OrderState(order, Phase.RECORDING, nowMillis, Long.MIN_VALUE, Optional.empty());
    }

    /**
     * Takes the outstanding order of the predecessor from the record.
     *
     * @param order the order
     * @return its state
     */
    public OrderState load(Order order) {
        // Whether the predecessor gave up a call is not known.
        long inFlightUntilMillis = takenOverAtMillis + timing.maximumFlightMillis();
        return new OrderState(order, Phase.PROBING, quietUntilMillis(order), inFlightUntilMillis, Optional.empty());
    }

    private long quietUntilMillis(Order order) {
        return order.checksFencing() ? takenOverAtMillis : takenOverAtMillis + timing.takeOverDelayMillis();
    }

    /**
     * Returns what is to be done next.
     *
     * @param state the state
     * @param nowMillis the present time, monotonic
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
     * Notes that the record was written as the state wants it.
     *
     * @param state the state at the time of the write
     * @param nowMillis the present time, monotonic
     * @return the new state
     */
    public OrderState onRecordWritten(OrderState state, long nowMillis) {
        return switch (state.phase()) {
            case RECORDING -> state.transitionTo(Phase.SENDING, Math.max(nowMillis, quietUntilMillis(state.order())));
            case CLEARING -> state.transitionTo(Phase.CLEARED, nowMillis);
            default -> state;
        };
    }

    /**
     * Takes the answer to a sent order.
     *
     * @param state the state
     * @param answer the answer, or the failure
     * @param nowMillis the present time, monotonic
     * @return the new state
     */
    public OrderState onSent(OrderState state, Either<Failure, SendResult> answer, long nowMillis) {
        if (answer.isLeft()) {
            boolean mayArrive = answer.getLeft().kind() == Failure.Kind.UNKNOWN_EFFECT;
            OrderState given = mayArrive ? state.inFlightUntil(nowMillis + timing.maximumFlightMillis()) : state;
            return given.transitionTo(Phase.PROBING, nowMillis + timing.retryDelayMillis());
        }
        return switch (answer.get()) {
            case ACCEPTED -> state.transitionTo(Phase.RUNNING, nowMillis + timing.pollIntervalMillis());
            case BUSY, STALE_FENCING_NUMBER -> state.transitionTo(Phase.PROBING, nowMillis + timing.retryDelayMillis());
            case REFUSED -> end(state, OrderResult.REFUSED, nowMillis);
        };
    }

    /**
     * Takes what the target says about the order.
     *
     * @param state the state
     * @param answer what it says, or the failure
     * @param nowMillis the present time, monotonic
     * @return the new state
     */
    public OrderState onProbed(OrderState state, Either<Failure, Progress> answer, long nowMillis) {
        if (answer.isLeft()) {
            return state.transitionTo(state.phase(), nowMillis + timing.retryDelayMillis());
        }
        return switch (answer.get()) {
            case RUNNING -> state.transitionTo(Phase.RUNNING, nowMillis + timing.pollIntervalMillis());
            case DONE -> end(state, OrderResult.DONE, nowMillis);
            case FAILED -> end(state, OrderResult.FAILED, nowMillis);
            case NOT_RECEIVED ->
                state.phase() == Phase.SETTLING
                        ? end(state, state.result().orElse(OrderResult.FAILED), nowMillis)
                        : state.transitionTo(Phase.SENDING, nowMillis);
        };
    }

    /** An order that has ended stays in the record until no call of it can arrive, and is looked at once more then. */
    private static OrderState end(OrderState state, OrderResult result, long nowMillis) {
        OrderState ended = state.ended(result);
        return nowMillis >= state.inFlightUntilMillis()
                ? ended.transitionTo(Phase.CLEARING, nowMillis)
                : ended.transitionTo(Phase.SETTLING, state.inFlightUntilMillis());
    }
}
