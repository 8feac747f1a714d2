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

/** Measures the record size of an order duty and the store writes from the submission to the end of its orders. */
final class OrderProbe implements Probe {
    private static final OrderTiming TIMING = new OrderTiming(0, 10, 20, 20);
    private static final int ENGINES_PER_DUTY_TODAY = 2;
    private static final int ENGINES_PER_DUTY = SiteSizes.ENGINES_PER_MODEL / SiteSizes.FAILURE_DOMAINS;

    /** Accepts every order, and reports all of them as done once {@code completed} is set. */
    private static final class Target implements OrderTransport {
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
    public List<Slope> measure(Scale scale) {
        DutyId engines = DutyId.engineOrders(BenchSite.domain(0), BenchSite.MODEL);
        DutyId upstreams = DutyId.upstreamOrders(BenchSite.domain(0));
        List<Slope> slopes = new ArrayList<>();
        slopes.addAll(measure(scale, Role.ENGINE_ORDERS, engines, ENGINES_PER_DUTY, OrderProbe::engineOrder));
        slopes.addAll(measure(scale, Role.UPSTREAM_ORDERS, upstreams, SiteSizes.MODELS, OrderProbe::upstreamOrder));
        return slopes;
    }

    private static List<Slope> measure(Scale scale, Role role, DutyId duty, int planned, IntFunction<Order> orders) {
        List<Sample> bytes = new ArrayList<>();
        List<Sample> writes = new ArrayList<>();
        for (int count : scale.sizes(10, 20, 40)) {
            measure(duty, count, orders, bytes, writes);
        }
        String per = "order outstanding";
        return List.of(
                new Slope(role, "record, bytes", per, ENGINES_PER_DUTY_TODAY, planned, bytes),
                new Slope(role, "store writes until all are done", per, ENGINES_PER_DUTY_TODAY, planned, writes));
    }

    private static void measure(
            DutyId duty, int count, IntFunction<Order> orders, List<Sample> bytes, List<Sample> writes) {
        CountingStore store = CountingStore.of(InMemoryKeyValueStore.create(BenchSite.CLOCK_MILLIS));
        Target target = new Target();
        FixedHolder holder = new FixedHolder(BenchSite.holder(1), 1);
        try (OrderService service = OrderService.create(new OrderServiceDependencies(
                BenchSite.SITE, TIMING, store.store(), holder, target, OrderListener.NONE, BenchSite.CLOCK_MILLIS))) {
            service.addDuties(List.of(duty));
            service.start();
            Meter.await(() -> service.submit(duty, orders.apply(0)).isRight());
            for (int i = 1; i < count; i++) {
                service.submit(duty, orders.apply(i)).get();
            }
            Meter.await(() -> target.received.size() == count);
            bytes.add(new Sample(count, CountingStore.bytes(store.store(), duty.recordKey(BenchSite.SITE))));
            target.completed = true;
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

    /** Returns an order for a service of a failure domain; each has its own target, as a target takes one at a time. */
    private static Order upstreamOrder(int number) {
        return new Order(
                OrderId.fromString(String.format("order-%08d", number)),
                "domain-00-" + number,
                "10.0.0.2:8100",
                false,
                new OrderContent.PlaceUpstreams(BenchSite.MODEL, 2, true));
    }
}
