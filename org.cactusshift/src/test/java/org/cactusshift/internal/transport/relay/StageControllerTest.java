package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.EngineCapabilities;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.ServedService;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UpstreamEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StageControllerTest {
    private static final ServiceId MODEL = ServiceId.fromString("model");
    private static final FailureDomainId DOMAIN = FailureDomainId.fromString("north");
    private static final String KEY = "/cactusshift/stages";

    /** The site's bound; the longest time between two reads of a node is 0.4 of it. */
    private static final long DELAY_LIMIT_MILLIS = 3_000;

    private static final long LONGEST_READ_PERIOD_MILLIS = 1_200;
    private static final long SWITCH_MILLIS = 3_000;
    private static final long TICK_MILLIS = 250;
    private static final ServedService SERVICE = new ServedService(
            MODEL,
            "/healthz",
            10,
            Optional.of(new EngineCapabilities(8, 400_000, 18_432, 370_000, 5_000, SWITCH_MILLIS, false)),
            Optional.empty());

    private final SettableClock clock = new SettableClock();
    private final FakeStore store = new FakeStore();
    private final EventLoop eventLoop = new DefaultEventLoop();
    private final UpstreamDirectory directory = UpstreamDirectory.create(service -> 1, 1);
    private final SiteStateFollower follower = SiteStateFollower.create(
            new SiteStateFollower.Dependencies(
                    store,
                    FakeDecoder.of(SERVICE),
                    directory,
                    CrashDetector.create(CrashHistory.create(1), crash -> {}),
                    eventLoop,
                    clock,
                    (event, fields) -> {},
                    new RelayMetrics()),
            "/cactusshift/",
            DELAY_LIMIT_MILLIS);
    private final FakeOrderClient orders = new FakeOrderClient();
    private StageController controller = controller();

    private static final class FakeOrderClient implements FleetOrderClient {
        private final List<Upstream> changed = new ArrayList<>();

        @Override
        public void orderEngines(
                DutyCaller holder,
                ServiceId service,
                FailureDomainId domain,
                boolean reclaimable,
                int count,
                Consumer<Either<Failure, Result>> receiver) {
            throw new AssertionError("stages need no engines");
        }

        @Override
        public void readAcceptedOrderCount(Upstream engine, Consumer<Either<Failure, Long>> receiver) {
            receiver.accept(Either.right(0L));
        }

        @Override
        public void changeStage(
                DutyCaller holder,
                Upstream engine,
                EngineStage stage,
                long acceptedOrders,
                Consumer<Either<Failure, Result>> receiver) {
            changed.add(engine);
            receiver.accept(Either.right(Result.ACCEPTED));
        }
    }

    private StageController controller() {
        return StageController.create(
                orders,
                store,
                follower,
                directory,
                UpstreamRequestLimits.create(InstanceId.fromString("n1"), id -> Optional.empty()),
                (holder, result) -> {},
                KEY,
                (event, fields) -> {});
    }

    @BeforeEach
    void listOnce() {
        follower.start();
        for (int i = 0; i < 10; i++) {
            register(i, EngineStage.DECODE);
        }
    }

    @AfterEach
    void endEventLoop() {
        eventLoop.shutdownGracefully();
    }

    private void register(int number, EngineStage stage) {
        directory.put(new UpstreamEntry(
                UpstreamId.fromString("engine-" + number),
                MODEL,
                "127.0.0.1:1",
                DOMAIN,
                8,
                false,
                stage,
                true,
                SoftwareVersion.UNSTATED,
                1,
                OptionalLong.empty()));
    }

    /** Advances the time; in each tick the node reads first what was written before. */
    private void advance(long millis) {
        DutyCaller holder = new DutyCaller(InstanceId.fromString("n1"), 5, () -> true);
        for (long end = clock.monotonicMillis + millis;
                clock.monotonicMillis < end;
                clock.monotonicMillis += TICK_MILLIS) {
            follower.start();
            controller.tick(holder, SERVICE, directory.acceptingWork(MODEL), clock.monotonicMillis);
        }
    }

    /** Guards against nodes that send requests to an engine which refuses them, as they do not know of its change. */
    @Test
    void changeIsOrderedOnlyWhenAllNodesMustHaveReadTheAnnouncement() {
        advance(LONGEST_READ_PERIOD_MILLIS);
        assertTrue(store.values.containsKey(KEY));
        assertTrue(orders.changed.isEmpty(), orders.changed.toString());
        advance(1_000);
        // Half of ten engines at most change at a time.
        assertEquals(5, orders.changed.size());
    }

    /** Guards against a second half that waits for the time-out of the orders of the first, while it is done. */
    @Test
    void furtherChangesFollowAsSoonAsTheFirstOnesAreComplete() {
        advance(2_500);
        completeOrdered(EngineStage.PREFILL);
        advance(2_500);
        // Four engines in ten decode.
        assertEquals(6, orders.changed.size());
    }

    /** Guards against a second change of an engine that is ordered before all nodes have read of it. */
    @Test
    void eachChangeOfAnEngineWaitsForItsOwnAnnouncement() {
        advance(4_000);
        completeOrdered(EngineStage.PREFILL);
        advance(2_500);
        completeOrdered(EngineStage.PREFILL);
        advance(2_500);
        orders.changed.clear();
        // All others leave, so that the engines that prefill now have to decode.
        for (int i = 0; i < 10; i++) {
            UpstreamId id = UpstreamId.fromString("engine-" + i);
            if (directory.find(id).orElseThrow().entry().stage() == EngineStage.DECODE) {
                directory.remove(id, false, clock.monotonicMillis);
            }
        }
        advance(LONGEST_READ_PERIOD_MILLIS);
        assertTrue(orders.changed.isEmpty(), orders.changed.toString());
        advance(1_500);
        assertEquals(3, orders.changed.size());
    }

    /** Guards against a change that counts against the others for ever, as the engine carries out no order. */
    @Test
    void changeThatComesToNothingIsWithdrawnAndAnnouncedAnew() {
        advance(2_500);
        assertEquals(5, orders.changed.size());
        advance(Upstream.STAGE_CHANGE_LIMIT_MILLIS - 2_000);
        orders.changed.clear();
        advance(LONGEST_READ_PERIOD_MILLIS);
        assertTrue(orders.changed.isEmpty(), orders.changed.toString());
        advance(2_000);
        assertEquals(5, orders.changed.size());
    }

    private void completeOrdered(EngineStage stage) {
        for (Upstream engine : List.copyOf(orders.changed)) {
            register(Integer.parseInt(engine.id().value().substring("engine-".length())), stage);
        }
    }

    /** Guards against announced changes that nobody orders, as the holder was lost in between. */
    @Test
    void successorOrdersWhatWasAnnounced() {
        advance(LONGEST_READ_PERIOD_MILLIS);
        assertTrue(orders.changed.isEmpty());
        controller = controller();
        advance(2_500);
        assertEquals(5, orders.changed.size());
    }

    /** Guards against requests to an engine that changes its stage, and against one that is avoided afterwards. */
    @Test
    void engineIsAvoidedFromTheAnnouncementUntilItHasTheNewStage() {
        AnnouncedStages announced = AnnouncedStages.create(follower, directory, KEY);
        advance(500);
        follower.start();
        announced.apply(clock.monotonicMillis);
        assertEquals(5, changing());
        advance(2_500);
        completeOrdered(EngineStage.PREFILL);
        assertEquals(0, changing());
    }

    private long changing() {
        return directory.acceptingWork(MODEL).stream()
                .filter(engine -> engine.isChangingStage(clock.monotonicMillis))
                .count();
    }
}
