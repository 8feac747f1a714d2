package org.cactusshift.internal.coordination.order;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.FencedRecord;

/**
 * Records, sends and tracks the orders of one duty while this node holds it.
 *
 * <p>There are two locks: {@code stateLock} guards the states and is never held during a call to the store or a
 * target; {@code cycleLock} serializes these calls. The record and the state machine are replaced only while both are
 * held, so that either lock suffices to read them.
 */
final class OrderDutyDriver {
    private static final System.Logger LOG = System.getLogger(OrderDutyDriver.class.getName());
    /**
     * How often one cycle writes the record and calls the targets, so that an order can pass through several phases
     * without waiting for the next cycle.
     */
    private static final int MAXIMUM_STEPS_PER_CYCLE = 4;

    private final OrderServiceDependencies dependencies;
    private final DutyId duty;
    private final ReentrantLock cycleLock = new ReentrantLock();
    private final Object stateLock = new Object();
    private final Map<String, OrderState> stateByTarget = new TreeMap<>();
    private Optional<FencedRecord> record = Optional.empty();
    /** Replaced each time the record is opened; null before the first time. */
    private OrderStateMachine machine;

    OrderDutyDriver(OrderServiceDependencies dependencies, DutyId duty) {
        this.dependencies = dependencies;
        this.duty = duty;
    }

    /** Submits an order. Fails when this node does not hold the duty or another order to the target is outstanding. */
    Either<Failure, Order> submit(Order order) {
        synchronized (stateLock) {
            if (record.isEmpty() || !isHeld()) {
                return Either.left(Failure.noEffect(
                        "submit order",
                        "local",
                        "duty " + duty + " is not held by this node or its record is not loaded yet"));
            }
            if (stateByTarget.containsKey(order.target())) {
                return Either.left(Failure.noEffect(
                        "submit order", order.target(), "another order to this target is outstanding"));
            }
            stateByTarget.put(
                    order.target(),
                    machine.start(order, dependencies.clockMillis().getAsLong()));
            return Either.right(order);
        }
    }

    /** Returns the outstanding orders; empty when this node does not hold the duty. */
    List<OrderState> outstanding() {
        synchronized (stateLock) {
            return isHeld() ? List.copyOf(stateByTarget.values()) : List.of();
        }
    }

    private List<OrderState> snapshot() {
        synchronized (stateLock) {
            return List.copyOf(stateByTarget.values());
        }
    }

    /**
     * Loads the record when this node has acquired the duty, again when its fencing number has changed since, and
     * advances each order. Does nothing while another thread runs a cycle.
     */
    void runCycle() {
        if (!cycleLock.tryLock()) {
            return;
        }
        try {
            openOrReopen();
            for (int step = 0; step < MAXIMUM_STEPS_PER_CYCLE && record.isPresent(); step++) {
                writeIfDue();
                callTargets();
            }
        } finally {
            cycleLock.unlock();
        }
    }

    private Optional<Authority> authority() {
        return dependencies
                .authorities()
                .authority(duty, dependencies.clockMillis().getAsLong());
    }

    /** Returns whether the duty is held and its record has been loaded. */
    boolean isHeld() {
        synchronized (stateLock) {
            return record.filter(FencedRecord::isHeld).isPresent();
        }
    }

    private void openOrReopen() {
        Optional<Authority> authority = authority();
        boolean changed = record.isPresent()
                && authority.isPresent()
                && authority.get().fencingNumber() != record.get().fencingNumber();
        if (changed) {
            close();
        }
        if (authority.isEmpty() || record.isPresent()) {
            return;
        }
        Either<Failure, FencedRecord> opened = FencedRecord.open(
                dependencies.store(),
                duty.recordKey(dependencies.site()),
                dependencies.authorities(),
                authority.get(),
                dependencies.clockMillis());
        if (opened.isLeft()) {
            LOG.log(System.Logger.Level.WARNING, opened.getLeft()::toString);
            return;
        }
        OrderRecord loaded = OrderRecord.fromBytes(opened.get().body());
        synchronized (stateLock) {
            record = Optional.of(opened.get());
            machine = OrderStateMachine.create(
                    dependencies.timing(), dependencies.clockMillis().getAsLong());
            loaded.outstanding().forEach(order -> stateByTarget.put(order.target(), machine.takeOver(order)));
        }
    }

    private void close() {
        synchronized (stateLock) {
            record = Optional.empty();
            stateByTarget.clear();
        }
    }

    private void writeIfDue() {
        List<OrderState> current = snapshot();
        long nowMillis = dependencies.clockMillis().getAsLong();
        boolean due = current.stream()
                .anyMatch(state -> machine.nextAction(state, nowMillis) == OrderStateMachine.Action.WRITE);
        if (!due) {
            return;
        }
        List<Order> outstanding = current.stream()
                .filter(OrderState::belongsInRecord)
                .map(OrderState::order)
                .toList();
        Either<Failure, Long> written = record.get().write(new OrderRecord(outstanding).toBytes());
        if (written.isRight()) {
            current.forEach(state -> replaceIfUnchanged(
                    state,
                    machine.onRecordWritten(state, dependencies.clockMillis().getAsLong())));
            return;
        }
        LOG.log(System.Logger.Level.WARNING, written.getLeft()::toString);
        if (written.getLeft().kind() == Failure.Kind.REJECTED) {
            close();
        }
    }

    private void callTargets() {
        for (OrderState state : snapshot()) {
            OrderStateMachine.Action action =
                    machine.nextAction(state, dependencies.clockMillis().getAsLong());
            if (action == OrderStateMachine.Action.PROBE) {
                Either<Failure, OrderTransport.Progress> progress =
                        dependencies.transport().progress(state.order());
                replaceIfUnchanged(
                        state,
                        machine.onProbed(
                                state, progress, dependencies.clockMillis().getAsLong()));
            } else if (action == OrderStateMachine.Action.SEND && isHeld()) {
                Either<Failure, OrderTransport.SendResult> result = dependencies
                        .transport()
                        .send(state.order(), record.get().fencingNumber());
                replaceIfUnchanged(
                        state,
                        machine.onSent(state, result, dependencies.clockMillis().getAsLong()));
            }
        }
    }

    /**
     * Replaces the state of an order unless it was replaced meanwhile. A cleared order is removed and reported to the
     * listener.
     */
    private void replaceIfUnchanged(OrderState before, OrderState after) {
        boolean cleared = after.phase() == OrderState.Phase.CLEARED;
        synchronized (stateLock) {
            if (stateByTarget.get(before.order().target()) != before) {
                return;
            }
            if (cleared) {
                stateByTarget.remove(before.order().target());
            } else {
                stateByTarget.put(before.order().target(), after);
            }
        }
        if (cleared) {
            after.result().ifPresent(result -> dependencies.listener().onOrderEnded(after.order(), result));
        }
    }
}
