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
 * Drives the outstanding orders of one duty while this node holds it.
 *
 * <p>There are two locks: {@code lock} guards the states and is never held during a call to the store or a target;
 * {@code cycleLock} serializes these calls.
 */
final class OrderDutyDriver {
    private static final System.Logger LOG = System.getLogger(OrderDutyDriver.class.getName());
    private static final int MAXIMUM_STEPS_PER_CYCLE = 4;

    private final OrderServiceDependencies dependencies;
    private final DutyId duty;
    private final ReentrantLock cycleLock = new ReentrantLock();
    private final Object lock = new Object();
    private final Map<String, OrderState> stateByTarget = new TreeMap<>();
    private Optional<FencedRecord> record = Optional.empty();
    private OrderStateMachine machine;

    OrderDutyDriver(OrderServiceDependencies dependencies, DutyId duty) {
        this.dependencies = dependencies;
        this.duty = duty;
    }

    /** Submits an order. Fails when the duty is not held or another order to the target is outstanding. */
    Either<Failure, Order> submit(Order order) {
        synchronized (lock) {
            if (record.isEmpty() || !isHeld()) {
                return Either.left(Failure.noEffect("submit order", "local", "duty " + duty + " is not held"));
            }
            if (stateByTarget.containsKey(order.target())) {
                return Either.left(Failure.noEffect(
                        "submit order", order.target(), "another order to this target is outstanding"));
            }
            stateByTarget.put(
                    order.target(),
                    machine.submit(order, dependencies.clockMillis().getAsLong()));
            return Either.right(order);
        }
    }

    /** Returns the outstanding orders; empty when the duty is not held. */
    List<OrderState> outstanding() {
        synchronized (lock) {
            return isHeld() ? List.copyOf(stateByTarget.values()) : List.of();
        }
    }

    private List<OrderState> snapshot() {
        synchronized (lock) {
            return List.copyOf(stateByTarget.values());
        }
    }

    /** Takes over or releases the duty, as the authority of this node requires, and advances each order. */
    void runCycle() {
        if (!cycleLock.tryLock()) {
            return;
        }
        try {
            openOrClose();
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
        synchronized (lock) {
            return record.filter(FencedRecord::isHeld).isPresent();
        }
    }

    private void openOrClose() {
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
        synchronized (lock) {
            record = Optional.of(opened.get());
            machine = OrderStateMachine.create(
                    dependencies.timing(), dependencies.clockMillis().getAsLong());
            loaded.outstanding().forEach(order -> stateByTarget.put(order.target(), machine.load(order)));
        }
    }

    private void close() {
        synchronized (lock) {
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
                .filter(OrderState::isRecorded)
                .map(OrderState::order)
                .toList();
        Either<Failure, Long> written = record.get().write(new OrderRecord(outstanding).toBytes());
        if (written.isRight()) {
            current.forEach(state -> replace(
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
                replace(
                        state,
                        machine.onProbed(
                                state, progress, dependencies.clockMillis().getAsLong()));
            } else if (action == OrderStateMachine.Action.SEND && isHeld()) {
                Either<Failure, OrderTransport.SendResult> result = dependencies
                        .transport()
                        .send(state.order(), record.get().fencingNumber());
                replace(
                        state,
                        machine.onSent(state, result, dependencies.clockMillis().getAsLong()));
            }
        }
    }

    private void replace(OrderState before, OrderState after) {
        boolean cleared = after.phase() == OrderState.Phase.CLEARED;
        synchronized (lock) {
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
