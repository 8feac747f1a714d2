package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
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
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CapacityRule;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.ServedService;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UpstreamEntry;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetControllerTest {
    private static final ServiceId MODEL = ServiceId.fromString("model");
    private static final FailureDomainId NORTH = FailureDomainId.fromString("north");
    private static final FailureDomainId SOUTH = FailureDomainId.fromString("south");
    /** Keeps the follower from reading on its own. */
    private static final long NEVER_MILLIS = 1_000_000_000;

    private static final String PLAN_KEY = "/cactusshift/fleet";
    private static final long TICK_MILLIS = 250;
    /** 1 to 4 engines in a domain, which boot in 4 s; a reclaimable one costs 0.22 times an on-demand one. */
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
                    CrashDetector.create(CrashHistory.create(1), crash -> {}),
                    eventLoop,
                    clock,
                    (event, fields) -> {},
                    new RelayMetrics()),
            "/cactusshift/",
            NEVER_MILLIS);
    private final FakeOrderClient orderClient = new FakeOrderClient();
    private final UpstreamRequestLimits limits =
            UpstreamRequestLimits.create(InstanceId.fromString("n1"), id -> Optional.empty());
    private final FleetController controller = FleetController.create(
            orderClient,
            store,
            follower,
            directory,
            limits,
            authority -> new DutyCaller(InstanceId.fromString("n1"), authority.fencingNumber(), () -> true),
            new FleetController.Keys(PLAN_KEY, "/cactusshift/stages"),
            (event, fields) -> {});

    /** An order of a target number of engines; a number below the present one releases engines. */
    private record Order(FailureDomainId domain, boolean reclaimable, int count) {}

    private static final class FakeOrderClient implements FleetOrderClient {
        private final List<Order> orders = new ArrayList<>();
        private boolean refusesReclaimable;

        @Override
        public void orderEngines(
                DutyCaller holder,
                ServiceId service,
                FailureDomainId domain,
                boolean reclaimable,
                int count,
                Consumer<Either<Failure, Result>> receiver) {
            orders.add(new Order(domain, reclaimable, count));
            boolean refused = reclaimable && refusesReclaimable;
            receiver.accept(Either.right(refused ? Result.UNAVAILABLE : Result.ACCEPTED));
        }

        @Override
        public void readAcceptedOrderCount(Upstream engine, Consumer<Either<Failure, Long>> receiver) {
            throw new AssertionError("engines without stages get no orders");
        }

        @Override
        public void changeStage(
                DutyCaller holder,
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
                SoftwareVersion.UNSTATED,
                1,
                OptionalLong.empty()));
    }

    /** Advances the time; in each tick the node reads first what was written before. */
    private void advance(long millis) {
        // The controller does not look at the duty of an authority.
        Authority authority = new Authority(DutyId.usage(0), 5, Long.MAX_VALUE);
        for (long end = clock.monotonicMillis + millis;
                clock.monotonicMillis < end;
                clock.monotonicMillis += TICK_MILLIS) {
            follower.start();
            controller.tick(Optional.of(authority), clock.monotonicMillis);
        }
    }

    private boolean hasOnDemandOrder() {
        return orderClient.orders.stream().anyMatch(order -> !order.reclaimable());
    }

    /**
     * The operator's engines register 2.5 s apart; the fleet counts as complete 3 s after the newest on-demand one was
     * first seen.
     */
    @Test
    void nothingIsReleasedWhileEnginesStillRegister() {
        add("a", NORTH, false);
        advance(2_500);
        add("b", NORTH, false);
        advance(2_500);
        add("c", SOUTH, false);
        advance(2_500);
        assertTrue(orderClient.orders.contains(new Order(NORTH, true, 3)), orderClient.orders.toString());
        for (int i = 0; i < 3; i++) {
            add("north-" + i, NORTH, true);
            add("south-" + i, SOUTH, true);
        }
        // No on-demand engine has been released so far, as that takes an order for a smaller number of them.
        assertFalse(hasOnDemandOrder(), orderClient.orders.toString());
        advance(4_000);
        assertTrue(orderClient.orders.contains(new Order(NORTH, false, 0)), orderClient.orders.toString());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void onDemandEnginesStayUntilTheirReplacementsRegister(boolean replacementsRegister) {
        add("a", NORTH, false);
        add("b", SOUTH, false);
        advance(4_000);
        if (replacementsRegister) {
            add("n1", NORTH, true);
            add("n2", NORTH, true);
        }
        advance(4_000);
        assertEquals(
                replacementsRegister,
                orderClient.orders.contains(new Order(NORTH, false, 0)),
                orderClient.orders.toString());
    }

    /** All engines are gone, and the platform refuses reclaimable ones. */
    @Test
    void onDemandEnginesAreOrderedWhenReclaimableOnesAreRefused() {
        add("a", NORTH, false);
        add("b", SOUTH, false);
        advance(4_000);
        orderClient.refusesReclaimable = true;
        directory.remove(UpstreamId.fromString("a"), false, clock.monotonicMillis);
        directory.remove(UpstreamId.fromString("b"), false, clock.monotonicMillis);
        orderClient.orders.clear();
        advance(8_000);
        assertTrue(
                orderClient.orders.stream().anyMatch(order -> !order.reclaimable() && order.count() > 0),
                orderClient.orders.toString());
    }

    /** Guards against an older plan, as the first of two restores shows it, that is taken for the newest one. */
    @Test
    void newestPlansAreWrittenAgainAfterTwoRestoresInARow() {
        add("a", NORTH, false);
        advance(2_500);
        byte[] older = store.values.get(PLAN_KEY).value();
        add("b", SOUTH, false);
        advance(4_000);
        byte[] newest = store.values.get(PLAN_KEY).value();
        assertFalse(Arrays.equals(older, newest));
        restore();
        store.values.put(PLAN_KEY, new VersionedValue(PLAN_KEY, older, 2, 2));
        follower.start();
        restore();
        advance(TICK_MILLIS);
        assertArrayEquals(newest, store.values.get(PLAN_KEY).value());
    }

    /** Guards against a plan of long ago, which a node that did not hold the duty then has kept. */
    @Test
    void plansOfAnEarlierRestoreAreNotWrittenAgain() {
        add("a", NORTH, false);
        advance(2_500);
        byte[] planned = store.values.get(PLAN_KEY).value();
        restore();
        clock.monotonicMillis += 20_000;
        store.values.put(PLAN_KEY, new VersionedValue(PLAN_KEY, new byte[0], 2, 2));
        follower.start();
        restore();
        advance(TICK_MILLIS);
        assertFalse(Arrays.equals(planned, store.values.get(PLAN_KEY).value()));
    }

    private void restore() {
        store.restore(2);
        controller.onStoreRestored(clock.monotonicMillis);
        follower.shareReads(() -> 1_000, changes -> {});
        follower.onStoreRestored();
    }

    /**
     * Guards against a fleet that is planned anew after a restore, with engines that were ordered counted as those of
     * the operator, and against a holder that waits for a revision which the restored store does not reach.
     */
    @Test
    void plansThatTheRestoredStoreLacksAreWrittenAgain() {
        add("a", NORTH, false);
        add("b", SOUTH, false);
        advance(4_000);
        byte[] planned = store.values.get(PLAN_KEY).value();
        add("c", SOUTH, false);
        orderClient.orders.clear();
        restore();
        advance(1_000);
        assertArrayEquals(planned, store.values.get(PLAN_KEY).value());
        advance(10_000);
        assertFalse(orderClient.orders.isEmpty(), "no orders after the restore");
    }
}
