package org.cactusshift.internal.coordination.change;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.change.PlannedChange.Phase;
import org.cactusshift.internal.coordination.order.Order;

/**
 * Decides about the change of one engine, as pure functions of state, answers and time.
 *
 * <p>An engine is ordered only while two rounds in a row had the acknowledgement of every node that is not known to be
 * gone, with nothing in flight. A node that can't be reached delays the change until the platform no longer lists it;
 * a change that has not got so far at the limit of a drain is put off, and is never forced.
 */
public final class PlannedChangeStateMachine {
    private static final int QUIET_ROUNDS_NEEDED = 2;
    private static final int MAXIMUM_DOUBLINGS = 16;

    private final ChangeTiming timing;

    private PlannedChangeStateMachine(ChangeTiming timing) {
        this.timing = Objects.requireNonNull(timing, "timing");
    }

    /**
     * Returns a machine.
     *
     * @param timing the periods
     * @return the machine
     */
    public static PlannedChangeStateMachine create(ChangeTiming timing) {
        return new PlannedChangeStateMachine(timing);
    }

    /**
     * Takes up a change.
     *
     * @param wanted the change
     * @param nowMillis the present time, monotonic
     * @return its state
     */
    public PlannedChange start(RequiredChange wanted, long nowMillis) {
        return new PlannedChange(wanted.engine().id(), wanted.content(), Phase.WANTED, nowMillis, 0, nowMillis);
    }

    /**
     * Takes over a change whose order an earlier holder of the duty recorded.
     *
     * @param order the outstanding order
     * @param nowMillis the present time, monotonic
     * @return its state; no round counts yet
     */
    public PlannedChange takeOver(Order order, long nowMillis) {
        UpstreamId engine = UpstreamId.fromString(order.target());
        return new PlannedChange(engine, order.content(), Phase.ORDERED, nowMillis, 0, nowMillis);
    }

    /**
     * Takes the answers of a round.
     *
     * @param change the state
     * @param answers the answers of this node and of each other one that is not known to be gone
     * @param askedAtMillis when the round was begun, monotonic
     * @param nowMillis the present time, monotonic
     * @return the new state
     */
    public PlannedChange onRound(
            PlannedChange change, Collection<DrainResponse> answers, long askedAtMillis, long nowMillis) {
        PlannedChange counted = count(change, answers, askedAtMillis);
        if (change.phase() == Phase.ORDERED || change.isEnded()) {
            return counted;
        }
        boolean yields = answers.stream()
                .map(DrainResponse::conflictingEngine)
                .flatMap(Optional::stream)
                .anyMatch(other -> other.compareTo(change.engine()) < 0);
        boolean late = nowMillis - change.startedAtMillis() >= timing.drainTimeoutMillis();
        if (yields) {
            return counted.transitionTo(Phase.GAVE_WAY);
        }
        if (late && !mayOrder(counted, nowMillis)) {
            return counted.transitionTo(Phase.PUT_OFF);
        }
        return counted.transitionTo(Phase.DRAINING);
    }

    private PlannedChange count(PlannedChange change, Collection<DrainResponse> answers, long askedAtMillis) {
        boolean quiet = !answers.isEmpty() && answers.stream().allMatch(DrainResponse::isQuiet);
        if (!quiet) {
            return change.withQuietRounds(0, change.lastQuietAtMillis());
        }
        boolean follows = askedAtMillis - change.lastQuietAtMillis() <= timing.roundValidityMillis();
        return change.withQuietRounds(follows ? change.quietRounds() + 1 : 1, askedAtMillis);
    }

    /**
     * Tells whether the engine may be ordered now: to submit the order, and each time before it is sent.
     *
     * @param change the state
     * @param nowMillis the present time, monotonic
     * @return true while the last two rounds were quiet and still count
     */
    public boolean mayOrder(PlannedChange change, long nowMillis) {
        return !change.isEnded()
                && change.quietRounds() >= QUIET_ROUNDS_NEEDED
                && nowMillis - change.lastQuietAtMillis() <= timing.roundValidityMillis();
    }

    /**
     * Notes that the order was taken for the durable record.
     *
     * @param change the state
     * @return the new state
     */
    public PlannedChange onSubmitted(PlannedChange change) {
        return change.transitionTo(Phase.ORDERED);
    }

    /**
     * Notes that the engine must go on serving although nothing runs on it.
     *
     * @param change the state
     * @return the new state, whose rounds count from the start
     */
    public PlannedChange onEngineRequired(PlannedChange change) {
        return change.withQuietRounds(0, change.lastQuietAtMillis());
    }

    /**
     * Notes that the order is no longer outstanding.
     *
     * @param change the state
     * @param status what the engine says now; empty when it can't be asked
     * @return the new state; put off when the engine is not as ordered
     */
    public PlannedChange onOrderEnded(PlannedChange change, Optional<EngineStatus> status) {
        boolean changed = status.filter(present -> ChangeSelector.isFulfilled(change.content(), present))
                .isPresent();
        return change.transitionTo(changed ? Phase.DONE : Phase.PUT_OFF);
    }

    /**
     * Returns when a change that gave way or was put off may be tried again.
     *
     * @param change its last state
     * @param before how the last try of the same engine was put off, if it was
     * @param nowMillis the present time, monotonic
     * @return the wait; doubled with each try that took the whole drain or failed, short after one that gave way
     */
    public Postponement postpone(PlannedChange change, Optional<Postponement> before, long nowMillis) {
        int tries = before.map(Postponement::consecutiveFailures).orElse(0);
        if (change.phase() == Phase.GAVE_WAY) {
            return new Postponement(tries, nowMillis + timing.yieldDelayMillis());
        }
        long backoffMillis = timing.drainTimeoutMillis() << Math.min(tries, MAXIMUM_DOUBLINGS);
        return new Postponement(tries + 1, nowMillis + Math.min(backoffMillis, timing.maximumBackoffMillis()));
    }
}
