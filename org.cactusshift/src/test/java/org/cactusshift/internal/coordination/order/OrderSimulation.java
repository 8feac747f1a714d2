package org.cactusshift.internal.coordination.order;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.OrderId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.DutySimulation;
import org.cactusshift.internal.coordination.lease.SimulatedNode;
import org.cactusshift.internal.coordination.lease.WriteDroppingStore;

/**
 * Simulates the nodes of a {@link DutySimulation} that send orders to one engine, over a network that delays, drops and
 * repeats them.
 */
final class OrderSimulation {
    static final long MAXIMUM_FLIGHT_MILLIS = 2_000;
    static final OrderTiming TIMING =
            new OrderTiming(DutySimulation.TTL_MILLIS + MAXIMUM_FLIGHT_MILLIS, MAXIMUM_FLIGHT_MILLIS, 300, 300);

    /** A fault injected to verify that the checker detects it. */
    enum InjectedFault {
        NONE,
        /** A new holder sends without the take-over delay. */
        NO_TAKE_OVER_DELAY,
        /** An order is cleared while an abandoned call of it may still arrive. */
        CLEARED_WHILE_IN_FLIGHT,
        /** Orders are sent before they are in the durable record. */
        SENT_BEFORE_DURABLE
    }

    private static final DutyId DUTY =
            DutyId.engineOrders(FailureDomainId.fromString("ostend-a"), ServiceId.fromString("share-lm"));

    private final DutySimulation duties;
    private final InjectedFault injectedFault;
    private final boolean checksFencing;
    private final long maximumPauseMillis;
    private final SimulatedEngine engine;
    private final Map<SimulatedNode, OrderDutyDriver> drivers = new HashMap<>();
    private final List<DelayedSend> delayedSends = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int lastOrderNumber;

    private record DelayedSend(Order order, long fencingNumber, long arrivesAtMillis) {}

    /**
     * Creates a simulation.
     *
     * @param seed the seed of all random choices
     * @param checksFencing whether the engine rejects orders with a stale fencing number
     * @param maximumPauseMillis the maximum pause of a sender between the check of its authority and the send
     * @param injectedFault the fault that the checker must detect, or none
     */
    OrderSimulation(long seed, boolean checksFencing, long maximumPauseMillis, InjectedFault injectedFault) {
        this.duties = new DutySimulation(seed, 3, Set.of(DUTY));
        this.injectedFault = injectedFault;
        this.checksFencing = checksFencing;
        this.maximumPauseMillis = maximumPauseMillis;
        this.engine = new SimulatedEngine(checksFencing);
        for (SimulatedNode node : duties.nodes()) {
            node.setHooks(() -> {}, () -> startDriver(node));
            startDriver(node);
        }
        duties.setOnNodeRun(this::runCurrent);
    }

    OrderSimulation run(int steps, int healingSteps) {
        duties.run(steps);
        duties.heal(healingSteps);
        violations.addAll(duties.violations());
        checkHistory();
        drivers.forEach((node, driver) -> {
            if (!driver.outstanding().isEmpty()) {
                violations.add("still outstanding at the end: " + driver.outstanding());
            }
        });
        return this;
    }

    List<String> violations() {
        return violations;
    }

    int startedOrderCount() {
        return engine.startedOrders().size();
    }

    private OrderTiming timing() {
        return switch (injectedFault) {
            case NO_TAKE_OVER_DELAY -> new OrderTiming(0, TIMING.maximumFlightMillis(), 300, 300);
            case CLEARED_WHILE_IN_FLIGHT -> new OrderTiming(TIMING.takeOverDelayMillis(), 0, 300, 300);
            default -> TIMING;
        };
    }

    private void startDriver(SimulatedNode node) {
        OrderServiceDependencies dependencies = new OrderServiceDependencies(
                DutySimulation.SITE,
                timing(),
                injectedFault == InjectedFault.SENT_BEFORE_DURABLE
                        ? new WriteDroppingStore(duties.store(), duties::random)
                        : duties.store(),
                node,
                new SimulatedTransport(),
                OrderListener.NONE,
                node::clockMillis);
        drivers.put(node, new OrderDutyDriver(dependencies, DUTY));
    }

    private void runCurrent() {
        deliver();
        SimulatedNode node = duties.current();
        OrderDutyDriver driver = drivers.get(node);
        if (!duties.isHealed() && duties.random().nextInt(4) == 0) {
            OrderId id = OrderId.fromString("order-" + (lastOrderNumber + 1));
            OrderContent content = new OrderContent.SetRole(UpstreamConfig.Role.PREFILL);
            if (driver.submit(new Order(id, "engine-1", "127.0.0.1:1", checksFencing, content))
                    .isRight()) {
                lastOrderNumber++;
            }
        }
        driver.runCycle();
    }

    private void deliver() {
        for (DelayedSend delayed : new ArrayList<>(delayedSends)) {
            if (delayed.arrivesAtMillis() <= duties.nowMillis()) {
                delayedSends.remove(delayed);
                receive(delayed.order(), delayed.fencingNumber());
            }
        }
    }

    private OrderTransport.SendResult receive(Order order, long fencingNumber) {
        return engine.receive(
                order, fencingNumber, duties.nowMillis(), duties.random().nextInt(1_500));
    }

    /**
     * Orders are submitted one after another, so an engine must never start an order that precedes one it already
     * started.
     */
    private void checkHistory() {
        int highest = 0;
        for (Order order : engine.startedOrders()) {
            int number = Integer.parseInt(order.id().value().substring("order-".length()));
            if (number <= highest) {
                violations.add("the engine started " + order.id() + " after order-" + highest);
            }
            highest = Math.max(highest, number);
        }
    }

    private final class SimulatedTransport implements OrderTransport {
        @Override
        public Either<Failure, SendResult> send(Order order, long fencingNumber) {
            if (!duties.isHealed() && maximumPauseMillis > 0 && duties.random().nextInt(8) == 0) {
                duties.pauseMidStep(duties.random().nextInt((int) maximumPauseMillis));
            }
            Failure lost = Failure.unknownEffect("send order", order.target(), "no response");
            int fate = duties.isHealed() ? 0 : duties.random().nextInt(10);
            if (fate < 5) {
                return Either.right(receive(order, fencingNumber));
            }
            if (fate < 7) {
                receive(order, fencingNumber);
            } else if (fate < 9) {
                long arrivesAtMillis = duties.nowMillis() + duties.random().nextInt((int) MAXIMUM_FLIGHT_MILLIS);
                delayedSends.add(new DelayedSend(order, fencingNumber, arrivesAtMillis));
            }
            return Either.left(lost);
        }

        @Override
        public Either<Failure, Progress> progress(Order order) {
            deliver();
            if (!duties.isHealed() && duties.random().nextInt(5) == 0) {
                return Either.left(Failure.noEffect("read orders", order.target(), "no response"));
            }
            return Either.right(engine.progress(order, duties.nowMillis()));
        }
    }
}
