package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.SiteChanges;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UsageCounts;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class UsageReportDriverTest {
    private static final String PREFIX = "/cactusshift/usage/";
    private static final long WINDOW_MILLIS = 5_000;
    private static final long PERIOD_MILLIS = 500;
    private static final InstanceId SELF = InstanceId.fromString("n1");

    /** So long that the follower does not read on its own during a test. */
    private static final long DELAY_LIMIT_MILLIS = 10_000;

    /** The time that other nodes have to read a seal before it is sent. */
    private static final long SPREAD_MILLIS = 4_000;

    /** How long after a window has begun it is sealed. */
    private static final long SEALED_AFTER_MILLIS = WINDOW_MILLIS + PERIOD_MILLIS + 1_000;

    private static final long START_EPOCH_MILLIS = 101 * WINDOW_MILLIS + 100;

    private final SettableClock clock = new SettableClock();
    private final EventLoop eventLoop = new DefaultEventLoop();
    private final FakeStore store = new FakeStore();
    private final UsageCounts counts = UsageCounts.create(WINDOW_MILLIS);
    private final FakeClient client = new FakeClient();
    private boolean holdsDuty = true;
    private int rank;
    private final SiteStateFollower follower = SiteStateFollower.create(
            new SiteStateFollower.Dependencies(
                    store,
                    FakeDecoder.of(),
                    UpstreamDirectory.create(service -> 1, 1),
                    CrashDetector.create(CrashHistory.create(1), crash -> {}),
                    eventLoop,
                    clock,
                    (event, fields) -> {},
                    new RelayMetrics()),
            "/cactusshift/",
            DELAY_LIMIT_MILLIS);
    private final UsageReportDriver driver = UsageReportDriver.create(
            counts,
            client,
            store,
            follower,
            authority -> new DutyCaller(SELF, authority.fencingNumber(), () -> holdsDuty),
            PREFIX,
            () -> rank,
            (event, fields) -> {});

    @AfterEach
    void endEventLoop() {
        eventLoop.shutdownGracefully();
    }

    /** Accepts all reports. */
    private static final class FakeClient implements UsageReportClient {
        private final List<String> reports = new ArrayList<>();

        @Override
        public byte[] encode(long window, SortedMap<AccountId, Long> windowCounts) {
            return (window + " " + windowCounts).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void report(DutyCaller holder, byte[] body, Consumer<Either<Failure, Boolean>> receiver) {
            if (!holder.holdsDuty().getAsBoolean()) {
                receiver.accept(Either.left(Failure.noEffect("report usage", "platform", "not the holder")));
                return;
            }
            reports.add(new String(body, StandardCharsets.UTF_8));
            receiver.accept(Either.right(true));
        }
    }

    /** Loses what was written to the store, and lists its keys again. */
    private void restoreStore(long epochMillis) {
        store.restore(5);
        follower.shareReads(() -> 1_000, changes -> {});
        follower.onStoreRestored();
        driver.onStoreRestored(epochMillis);
        follower.start();
    }

    private void tell(long window, String sealed) {
        String key = PREFIX + window;
        VersionedValue value = new VersionedValue(key, sealed.getBytes(StandardCharsets.UTF_8), 11, 11);
        long era = store.era().current();
        follower.onTold(new SiteChanges(era, 5, 11, 0, List.of(new KeyChange(key, Optional.of(value), 11))));
    }

    private String sealed(long window) {
        return new String(store.values.get(PREFIX + window).value(), StandardCharsets.UTF_8);
    }

    private void tickAsHolder(long epochMillis) {
        driver.tick(Optional.of(new Authority(DutyId.usage(0), 3, Long.MAX_VALUE)), PERIOD_MILLIS, epochMillis);
    }

    /** Guards against a window that is sealed but not reported, as all nodes were lost in between. */
    @Test
    void windowSealedBeforeThisNodeStartedIsReportedAsSealed() {
        follower.start();
        tell(99, "sealed by another node");
        tickAsHolder(START_EPOCH_MILLIS);
        tickAsHolder(START_EPOCH_MILLIS + SPREAD_MILLIS);
        assertEquals(List.of("sealed by another node"), client.reports);
    }

    /** A window before this node started, of which nothing is sealed, was reported by another node or is lost. */
    @Test
    void earlierWindowsThatAreNotSealedAreLeftOut() {
        follower.start();
        counts.add(AccountId.fromString("a"), START_EPOCH_MILLIS);
        tickAsHolder(START_EPOCH_MILLIS);
        tickAsHolder(START_EPOCH_MILLIS + SEALED_AFTER_MILLIS);
        tickAsHolder(START_EPOCH_MILLIS + SEALED_AFTER_MILLIS + SPREAD_MILLIS);
        assertEquals(List.of("101 {a=1}"), client.reports);
    }

    /** Guards against a report of a node that loses the duty while it seals the window or opens a connection. */
    @Test
    void reportIsNotSentOnceTheDutyIsLost() {
        follower.start();
        tickAsHolder(START_EPOCH_MILLIS);
        tickAsHolder(START_EPOCH_MILLIS + SEALED_AFTER_MILLIS);
        holdsDuty = false;
        tickAsHolder(START_EPOCH_MILLIS + SEALED_AFTER_MILLIS + SPREAD_MILLIS);
        assertEquals(1, store.values.size());
        assertEquals(List.of(), client.reports);
    }

    /** Guards against a report that was sent when no other node could know its bytes, which a restore may lose. */
    @Test
    void sealedWindowIsSentOnceOtherNodesCanHaveReadIt() {
        follower.start();
        tickAsHolder(START_EPOCH_MILLIS);
        tickAsHolder(START_EPOCH_MILLIS + SEALED_AFTER_MILLIS);
        tickAsHolder(START_EPOCH_MILLIS + SEALED_AFTER_MILLIS + SPREAD_MILLIS - 1);
        assertEquals(List.of(), client.reports);
        tickAsHolder(START_EPOCH_MILLIS + SEALED_AFTER_MILLIS + SPREAD_MILLIS);
        assertEquals(List.of("101 {}"), client.reports);
    }

    /**
     * Guards against a window that is reported again with other counts, as the restored store lacks its seal: the next
     * holder knows the seal, or another node writes it again before the holder seals the window.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void windowWhoseSealTheRestoredStoreLacksIsReportedWithTheSameBytes(boolean holderKnowsTheSeal) {
        follower.start();
        tickAsHolder(START_EPOCH_MILLIS);
        long afterWindow = START_EPOCH_MILLIS + WINDOW_MILLIS;
        counts.add(AccountId.fromString("b"), START_EPOCH_MILLIS);
        if (holderKnowsTheSeal) {
            tell(101, "101 {a=1}");
            driver.tick(Optional.empty(), PERIOD_MILLIS, afterWindow);
        }
        restoreStore(afterWindow);
        tickAsHolder(afterWindow + 2_000);
        if (!holderKnowsTheSeal) {
            assertEquals(Map.of(), store.values, "sealed too early");
            tell(101, "101 {a=1}");
        }
        tickAsHolder(afterWindow + 2_500);
        tickAsHolder(afterWindow + 2_500 + SPREAD_MILLIS);
        assertEquals(List.of("101 {a=1}"), client.reports);
    }

    /** The rows: the rank of a node that does not hold the duty, and when it writes a lost seal again. */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 700", "2, 1400"})
    void nodesThatKnowALostSealWriteItOneAfterTheOther(int nodeRank, long delayMillis) {
        rank = nodeRank;
        follower.start();
        tell(100, "100 {a=1}");
        driver.tick(Optional.empty(), PERIOD_MILLIS, START_EPOCH_MILLIS);
        restoreStore(START_EPOCH_MILLIS);
        if (delayMillis > 0) {
            driver.tick(Optional.empty(), PERIOD_MILLIS, START_EPOCH_MILLIS + delayMillis - 1);
            assertEquals(Map.of(), store.values);
        }
        driver.tick(Optional.empty(), PERIOD_MILLIS, START_EPOCH_MILLIS + delayMillis);
        assertEquals("100 {a=1}", sealed(100));
        assertEquals(List.of(), client.reports);
    }

    /** Guards against a second report of a window that was sealed with different counts before and after a restore. */
    @Test
    void windowWithTwoSealsIsNotReported() {
        follower.start();
        tell(100, "100 {a=1}");
        driver.tick(Optional.empty(), PERIOD_MILLIS, START_EPOCH_MILLIS);
        restoreStore(START_EPOCH_MILLIS);
        tell(100, "100 {a=2}");
        tickAsHolder(START_EPOCH_MILLIS + 250);
        tickAsHolder(START_EPOCH_MILLIS + 250 + SPREAD_MILLIS);
        assertEquals(List.of(), client.reports);
    }
}
