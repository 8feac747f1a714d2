package org.cactusshift.internal.coordination.change;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.change.PlannedChange.Phase;
import org.cactusshift.internal.coordination.order.Order;

/**
 * The state machine of a planned change of one engine, as pure functions of state, responses and time.
 *
 * <p>An order may be sent to an engine only after two consecutive quiet rounds, that is, rounds in which every node
 * that is not known to be gone acknowledged the drain and had nothing in flight. A node that can't be reached delays
 * the change until the platform no longer lists it. A change that is still delayed at the drain timeout is postponed,
 * never forced.
 */
public final class PlannedChangeStateMachine {
    private static final int REQUIRED_QUIET_ROUNDS = 2;
    /** Keeps the doubled delay from overflowing before it is limited to the maximum. */
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 16;

    private final ChangeTiming timing;

    private PlannedChangeStateMachine(ChangeTiming timing) {
        this.timing = Objects.requireNonNull(timing, "timing");
    }

    /**
     * Returns a state machine.
     *
     * @param timing the timing
     * @return the state machine
     */
    public static PlannedChangeStateMachine create(ChangeTiming timing) {
        return new PlannedChangeStateMachine(timing);
    }

    /**
     * Returns the initial state of a change.
     *
     * @param required the change
     * @param nowMillis the current monotonic time
     * @return its state
     */
    public PlannedChange start(RequiredChange required, long nowMillis) {
        return new PlannedChange(required.engine().id(), required.content(), Phase.WANTED, nowMillis, 0, nowMillis);
    }

    /**
     * Takes over a change whose order a previous holder of the ordering duty recorded.
     *
     * @param order the outstanding order
     * @param nowMillis the current monotonic time
     * @return its state, without any quiet round
     */
    public PlannedChange takeOver(Order order, long nowMillis) {
        UpstreamId engine = UpstreamId.fromString(order.target());
        return new PlannedChange(engine, order.content(), Phase.ORDERED, nowMillis, 0, nowMillis);
    }

    /**
     * Applies the responses of a drain round: counts consecutive quiet rounds, and moves a change without an order on.
     * The change yields if a node reports a conflicting change of an engine with a lower id, is postponed if it may not
     * be ordered at the drain timeout, and drains otherwise.
     *
     * @param change the state
     * @param responses the responses of this node and of every other node that is not known to be gone
     * @param roundStartMillis when the round was started, monotonic
     * @param nowMillis the current monotonic time
     * @return the new state
     */
    public PlannedChange onRound(
            PlannedChange change, Collection<DrainResponse> responses, long roundStartMillis, long nowMillis) {
        PlannedChange counted = countQuietRounds(change, responses, roundStartMillis);
        if (change.phase() == Phase.ORDERED || change.isEnded()) {
            return counted;
        }
        boolean yields = responses.stream()
                .map(DrainResponse::conflictingEngine)
                .flatMap(Optional::stream)
                .anyMatch(other -> other.compareTo(change.engine()) < 0);
        boolean timedOut = nowMillis - change.startedAtMillis() >= timing.drainTimeoutMillis();
        if (yields) {
            return counted.transitionTo(Phase.GAVE_WAY);
        }
        if (timedOut && !mayOrder(counted, nowMillis)) {
            return counted.transitionTo(Phase.PUT_OFF);
        }
        return counted.transitionTo(Phase.DRAINING);
    }

    private PlannedChange countQuietRounds(
            PlannedChange change, Collection<DrainResponse> responses, long roundStartMillis) {
        boolean quiet = !responses.isEmpty() && responses.stream().allMatch(DrainResponse::isQuiet);
        if (!quiet) {
            return change.withQuietRounds(0, change.lastQuietAtMillis());
        }
        boolean isConsecutive = roundStartMillis - change.lastQuietAtMillis() <= timing.roundValidityMillis();
        return change.withQuietRounds(isConsecutive ? change.quietRounds() + 1 : 1, roundStartMillis);
    }

    /**
     * Returns whether the order may be submitted or sent now. Checked before the submission and before each send.
     *
     * @param change the state
     * @param nowMillis the current monotonic time
     * @return true if the change has not ended, the last two rounds were quiet, and the last one started at most
     *     {@link ChangeTiming#roundValidityMillis()} ago
     */
    public boolean mayOrder(PlannedChange change, long nowMillis) {
        return !change.isEnded()
                && change.quietRounds() >= REQUIRED_QUIET_ROUNDS
                && nowMillis - change.lastQuietAtMillis() <= timing.roundValidityMillis();
    }

    /**
     * Records that the order was submitted.
     *
     * @param change the state
     * @return the new state
     */
    public PlannedChange onSubmitted(PlannedChange change) {
        return change.transitionTo(Phase.ORDERED);
    }

    /**
     * Records that the engine is drained but can't be taken out of service at present.
     *
     * @param change the state
     * @return the new state, without any quiet round
     */
    public PlannedChange onEngineNeededInService(PlannedChange change) {
        return change.withQuietRounds(0, change.lastQuietAtMillis());
    }

    /**
     * Records that the order is no longer outstanding.
     *
     * @param change the state
     * @param status the current status of the engine; empty when it can't be reached
     * @return the new state: done if the engine's status fulfils the order, postponed otherwise, also when it can't be
     *     reached
     */
    public PlannedChange onOrderEnded(PlannedChange change, Optional<EngineStatus> status) {
        boolean changed = status.filter(present -> ChangeSelector.isFulfilled(change.content(), present))
                .isPresent();
        return change.transitionTo(changed ? Phase.DONE : Phase.PUT_OFF);
    }

    /**
     * Returns when a change that yielded or was postponed may be tried again.
     *
     * @param change its last state
     * @param previous the previous postponement of a change of this engine, if any
     * @param nowMillis the current monotonic time
     * @return the postponement; its delay starts at the drain timeout and doubles with each consecutive failed attempt
     *     up to the maximum; after yielding it is {@link ChangeTiming#yieldDelayMillis()}, and the attempt does not
     *     count as failed
     */
    public Postponement postpone(PlannedChange change, Optional<Postponement> previous, long nowMillis) {
        int failures = previous.map(Postponement::consecutiveFailures).orElse(0);
        if (change.phase() == Phase.GAVE_WAY) {
            return new Postponement(failures, nowMillis + timing.yieldDelayMillis());
        }
        long backoffMillis = timing.drainTimeoutMillis() << Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
        return new Postponement(failures + 1, nowMillis + Math.min(backoffMillis, timing.maximumBackoffMillis()));
    }
}
