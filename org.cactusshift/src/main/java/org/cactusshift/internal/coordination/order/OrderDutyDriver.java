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
 * The outstanding orders of one duty at this node.
 *
 * <p>Two locks: {@code lock} guards the states and is held for moments; {@code cycleLock} keeps the calls to the store
 * and to the targets one at a time.
 */
final class OrderDutyDriver {
    private static final System.Logger LOG = System.getLogger(OrderDutyDriver.class.getName());
    private static final int MAXIMUM_STEPS_PER_CYCLE = 4;

    private final OrderServiceDependencies setup;
    private final DutyId duty;
    private final ReentrantLock cycleLock = new ReentrantLock();
    private final Object lock = new Object();
    private final Map<String, OrderState> states = new TreeMap<>();
    private Optional<FencedRecord> record = Optional.empty();
    private OrderStateMachine machine;

    OrderDutyDriver(OrderServiceDependencies setup, DutyId duty) {
        this.setup = setup;
        this.duty = duty;
    }

    /** Takes an order, unless the duty is not held or another order of the target is outstanding. */
    Either<Failure, Order> submit(Order order) {
        synchronized (lock) {
            if (record.isEmpty() || !isHeld()) {
                return Either.left(Failure.noEffect("submit order", "local", "duty " + duty + " is not held"));
            }
            if (states.containsKey(order.target())) {
                return Either.left(Failure.noEffect("submit order", order.target(), "another order is outstanding"));
            }
            states.put(order.target(), machine.submit(order, setup.clockMillis().getAsLong()));
            return Either.right(order);
        }
    }

    /** Returns the outstanding orders; empty while the duty is not held. */
    List<OrderState> outstanding() {
        synchronized (lock) {
            return isHeld() ? List.copyOf(states.values()) : List.of();
        }
    }

    private List<OrderState> snapshot() {
        synchronized (lock) {
            return List.copyOf(states.values());
        }
    }

    /** Takes the duty over or gives it up, and moves each order on. */
    void cycle() {
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
        return setup.authorities().authority(duty, setup.clockMillis().getAsLong());
    }

    /** Tells whether the duty is held and its record was read. */
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
                setup.store(), duty.recordKey(setup.site()), setup.authorities(), authority.get(), setup.clockMillis());
        if (opened.isLeft()) {
            LOG.log(System.Logger.Level.WARNING, opened.getLeft()::toString);
            return;
        }
        OrderRecord loaded = OrderRecord.fromBytes(opened.get().body());
        synchronized (lock) {
            record = Optional.of(opened.get());
            machine =
                    OrderStateMachine.create(setup.timing(), setup.clockMillis().getAsLong());
            loaded.outstanding().forEach(order -> states.put(order.target(), machine.load(order)));
        }
    }

    private void close() {
        synchronized (lock) {
            record = Optional.empty();
            states.clear();
        }
    }

    private void writeIfDue() {
        List<OrderState> written = snapshot();
        long nowMillis = setup.clockMillis().getAsLong();
        boolean due = written.stream()
                .anyMatch(state -> machine.nextAction(state, nowMillis) == OrderStateMachine.Action.WRITE);
        if (!due) {
            return;
        }
        List<Order> outstanding = written.stream()
                .filter(OrderState::isRecorded)
                .map(OrderState::order)
                .toList();
        Either<Failure, Long> swapped = record.get().write(new OrderRecord(outstanding).toBytes());
        if (swapped.isRight()) {
            written.forEach(state -> replace(
                    state, machine.onRecordWritten(state, setup.clockMillis().getAsLong())));
            return;
        }
        LOG.log(System.Logger.Level.WARNING, swapped.getLeft()::toString);
        if (swapped.getLeft().kind() == Failure.Kind.REJECTED) {
            close();
        }
    }

    private void callTargets() {
        for (OrderState state : snapshot()) {
            OrderStateMachine.Action action =
                    machine.nextAction(state, setup.clockMillis().getAsLong());
            if (action == OrderStateMachine.Action.PROBE) {
                Either<Failure, OrderTransport.Progress> answer =
                        setup.transport().progress(state.order());
                replace(
                        state,
                        machine.onProbed(state, answer, setup.clockMillis().getAsLong()));
            } else if (action == OrderStateMachine.Action.SEND && isHeld()) {
                Either<Failure, OrderTransport.SendResult> answer =
                        setup.transport().send(state.order(), record.get().fencingNumber());
                replace(state, machine.onSent(state, answer, setup.clockMillis().getAsLong()));
            }
        }
    }

    private void replace(OrderState before, OrderState after) {
        boolean cleared = after.phase() == OrderState.Phase.CLEARED;
        synchronized (lock) {
            if (states.get(before.order().target()) != before) {
                return;
            }
            if (cleared) {
                states.remove(before.order().target());
            } else {
                states.put(before.order().target(), after);
            }
        }
        if (cleared) {
            after.result().ifPresent(result -> setup.listener().onOrderEnded(after.order(), result));
        }
    }
}
