package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.cactusshift.internal.coordination.serving.CapacityRule;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.ServedService;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UpstreamEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetControllerTest {
    private static final ServiceId MODEL = ServiceId.fromString("model");
    private static final FailureDomainId NORTH = FailureDomainId.fromString("north");
    private static final FailureDomainId SOUTH = FailureDomainId.fromString("south");
    private static final long NEVER_MILLIS = 1_000_000_000;
    private static final long TICK_MILLIS = 250;
    private static final CapacityRule RULE =
            new CapacityRule(1, 4, 4_000, OptionalDouble.of(0.22), Map.of(NORTH, 1.0, SOUTH, 1.0));

    private final SettableClock clock = new SettableClock();
    private final FakeStore store = new FakeStore();
    private final EventLoop eventLoop = new DefaultEventLoop();
    private final UpstreamDirectory directory = UpstreamDirectory.create(service -> 1, 1);
    private final SiteStateFollower follower = SiteStateFollower.create(
            new SiteStateFollower.Dependencies(
                    store,
                    FakeDecoder.of(new ServedService(MODEL, "/healthz", 10, Optional.empty(), Optional.of(RULE))),
                    directory,
                    CrashDetector.create(Quarantine.create(1)),
                    eventLoop,
                    clock,
                    (event, fields) -> {},
                    new RelayMetrics()),
            "/cactusshift/",
            NEVER_MILLIS);
    private final FakeCalls calls = new FakeCalls();
    private final FleetController runner = FleetController.create(
            calls,
            store,
            follower,
            directory,
            InstanceId.fromString("n1"),
            "/cactusshift/fleet",
            (event, fields) -> {});

    private record Order(FailureDomainId domain, boolean reclaimable, int count) {}

    private static final class FakeCalls implements FleetOrderClient {
        private final List<Order> orders = new ArrayList<>();
        private boolean reclaimableIsRefused;

        @Override
        public void orderEngines(
                Holder holder,
                ServiceId service,
                FailureDomainId domain,
                boolean reclaimable,
                int count,
                Consumer<Either<Failure, Result>> receiver) {
            orders.add(new Order(domain, reclaimable, count));
            boolean refused = reclaimable && reclaimableIsRefused;
            receiver.accept(Either.right(refused ? Result.UNAVAILABLE : Result.ACCEPTED));
        }

        @Override
        public void readAcceptedOrderCount(Upstream engine, Consumer<Either<Failure, Long>> receiver) {
            throw new AssertionError("engines without stages get no orders");
        }

        @Override
        public void changeStage(
                Holder holder,
                Upstream engine,
                EngineStage stage,
                long acceptedOrders,
                Consumer<Either<Failure, Result>> receiver) {
            throw new AssertionError("engines without stages get no orders");
        }
    }

    /** The first read lists all upstreams, of which this store has none; tests add theirs afterwards. */
    @BeforeEach
    void listOnce() {
        follower.start();
    }

    @AfterEach
    void endEventLoop() {
        eventLoop.shutdownGracefully();
    }

    private void add(String id, FailureDomainId domain, boolean reclaimable) {
        directory.put(new UpstreamEntry(
                UpstreamId.fromString(id),
                MODEL,
                "127.0.0.1:1",
                domain,
                8,
                false,
                EngineStage.ANY,
                reclaimable,
                1,
                OptionalLong.empty()));
    }

    /** Lets time pass; each tick the node has read what was written before. */
    private void pass(long millis) {
        Authority authority = new Authority(DutyId.usage(0), 5, Long.MAX_VALUE);
        for (long end = clock.steadyMillis + millis; clock.steadyMillis < end; clock.steadyMillis += TICK_MILLIS) {
            follower.start();
            runner.tick(Optional.of(authority), clock.steadyMillis);
        }
    }

    private boolean releasedAnything() {
        return calls.orders.stream().anyMatch(order -> !order.reclaimable());
    }

    /** Load pattern: the operator's engines register one after the other, some seconds apart. */
    @Test
    void nothingIsReleasedWhileEnginesStillRegister() {
        add("a", NORTH, false);
        pass(2_500);
        add("b", NORTH, false);
        pass(2_500);
        add("c", SOUTH, false);
        pass(2_500);
        assertTrue(calls.orders.contains(new Order(NORTH, true, 3)), calls.orders.toString());
        for (int i = 0; i < 3; i++) {
            add("north-" + i, NORTH, true);
            add("south-" + i, SOUTH, true);
        }
        assertFalse(releasedAnything(), calls.orders.toString());
        pass(4_000);
        assertTrue(calls.orders.contains(new Order(NORTH, false, 0)), calls.orders.toString());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lastingEnginesStayUntilTheirReplacementsAreThere(boolean replaced) {
        add("a", NORTH, false);
        add("b", SOUTH, false);
        pass(4_000);
        if (replaced) {
            add("n1", NORTH, true);
            add("n2", NORTH, true);
        }
        pass(4_000);
        assertEquals(replaced, calls.orders.contains(new Order(NORTH, false, 0)), calls.orders.toString());
    }

    /** Load pattern: all reclaimable engines are recalled and no others are to be had. */
    @Test
    void lastingEnginesAreOrderedWhenReclaimableOnesAreRefused() {
        add("a", NORTH, false);
        add("b", SOUTH, false);
        pass(4_000);
        calls.reclaimableIsRefused = true;
        directory.remove(UpstreamId.fromString("a"), false, clock.steadyMillis);
        directory.remove(UpstreamId.fromString("b"), false, clock.steadyMillis);
        calls.orders.clear();
        pass(8_000);
        assertTrue(
                calls.orders.stream().anyMatch(order -> !order.reclaimable() && order.count() > 0),
                calls.orders.toString());
    }
}
