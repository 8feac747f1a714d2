package org.cactusshift.pgm.bench;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntFunction;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.OrderId;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.order.Order;
import org.cactusshift.internal.coordination.order.OrderContent;
import org.cactusshift.internal.coordination.order.OrderListener;
import org.cactusshift.internal.coordination.order.OrderService;
import org.cactusshift.internal.coordination.order.OrderServiceDependencies;
import org.cactusshift.internal.coordination.order.OrderTiming;
import org.cactusshift.internal.coordination.order.OrderTransport;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;

/** Measures the size of an order duty's record, and the store writes from submitting its orders to their completion. */
final class OrderProbe implements Probe {
    /** Take-over delay, maximum flight, poll interval and retry delay, in milliseconds. */
    private static final OrderTiming TIMING = new OrderTiming(0, 10, 20, 20);

    private static final int OUTSTANDING_ORDERS_TODAY = 2;
    private static final int ENGINES_PER_DUTY_PLANNED =
            SiteSizes.ENGINES_PER_MODEL_PLANNED / SiteSizes.FAILURE_DOMAINS_PLANNED;

    /** Accepts every order, and reports all of them as done once {@code completed} is set. */
    private static final class FakeOrderTransport implements OrderTransport {
        private final Set<OrderId> received = ConcurrentHashMap.newKeySet();
        private volatile boolean completed;

        @Override
        public Either<Failure, SendResult> send(Order order, long fencingNumber) {
            received.add(order.id());
            return Either.right(SendResult.ACCEPTED);
        }

        @Override
        public Either<Failure, Progress> progress(Order order) {
            if (!received.contains(order.id())) {
                return Either.right(Progress.NOT_RECEIVED);
            }
            return Either.right(completed ? Progress.DONE : Progress.RUNNING);
        }
    }

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        DutyId engineOrdersDuty = DutyId.engineOrders(BenchSite.failureDomain(0), BenchSite.MODEL);
        DutyId upstreamOrdersDuty = DutyId.upstreamOrders(BenchSite.failureDomain(0));
        List<ScalingMeasurement> measurements = new ArrayList<>();
        measurements.addAll(measure(
                scale, NodeRole.ENGINE_ORDERS, engineOrdersDuty, ENGINES_PER_DUTY_PLANNED, OrderProbe::engineOrder));
        measurements.addAll(measure(
                scale,
                NodeRole.UPSTREAM_ORDERS,
                upstreamOrdersDuty,
                SiteSizes.MODELS_PLANNED,
                OrderProbe::upstreamOrder));
        return measurements;
    }

    private static List<ScalingMeasurement> measure(
            Scale scale, NodeRole role, DutyId duty, int planned, IntFunction<Order> orders) {
        List<Sample> recordBytes = new ArrayList<>();
        List<Sample> writes = new ArrayList<>();
        for (int count : scale.sizes(10, 20, 40)) {
            measure(duty, count, orders, recordBytes, writes);
        }
        String per = "order outstanding";
        return List.of(
                new ScalingMeasurement(role, "record, bytes", per, OUTSTANDING_ORDERS_TODAY, planned, recordBytes),
                new ScalingMeasurement(
                        role, "store writes until all are done", per, OUTSTANDING_ORDERS_TODAY, planned, writes));
    }

    private static void measure(
            DutyId duty, int count, IntFunction<Order> orders, List<Sample> recordBytes, List<Sample> writes) {
        CountingStore store = CountingStore.of(InMemoryKeyValueStore.create(BenchSite.MONOTONIC_MILLIS));
        FakeOrderTransport transport = new FakeOrderTransport();
        FixedHolder duties = new FixedHolder(BenchSite.holder(1), 1);
        try (OrderService service = OrderService.create(new OrderServiceDependencies(
                BenchSite.SITE,
                TIMING,
                store.countedStore(),
                duties,
                transport,
                OrderListener.NONE,
                BenchSite.MONOTONIC_MILLIS))) {
            service.addDuties(List.of(duty));
            service.start();
            Meter.await(() -> service.submit(duty, orders.apply(0)).isRight());
            for (int i = 1; i < count; i++) {
                service.submit(duty, orders.apply(i)).get();
            }
            Meter.await(() -> transport.received.size() == count);
            recordBytes.add(
                    new Sample(count, CountingStore.storedBytes(store.countedStore(), duty.recordKey(BenchSite.SITE))));
            transport.completed = true;
            Meter.await(() -> service.outstanding(duty).isEmpty());
            writes.add(new Sample(count, store.writes()));
        }
    }

    private static Order engineOrder(int number) {
        return Order.toEngine(
                OrderId.fromString(String.format("order-%08d", number)),
                BenchSite.engine(number, "10.0.0.1:8000"),
                new OrderContent.SetRole(UpstreamConfig.Role.DECODE));
    }

    /** Returns a provisioning order; each has its own target, as a target may have only one outstanding order. */
    private static Order upstreamOrder(int number) {
        return new Order(
                OrderId.fromString(String.format("order-%08d", number)),
                "domain-00-" + number,
                "10.0.0.2:8100",
                false,
                new OrderContent.PlaceUpstreams(BenchSite.MODEL, 2, true));
    }
}
