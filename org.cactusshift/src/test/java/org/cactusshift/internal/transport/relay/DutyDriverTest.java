package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.LeaseTiming;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DutyDriverTest {
    private static final DutyId DUTY = DutyId.usage(0);
    /** So long that the follower does not read on its own during a test. */
    private static final long DELAY_LIMIT_MILLIS = 100_000;

    private static final SiteId SITE = SiteId.fromString("site");
    private static final String FIRST_ERA_KEY = DutyId.keyPrefix(SITE) + "firstEra";
    private static final InstanceId SELF = InstanceId.fromString("n1");

    private final SettableClock clock = new SettableClock();
    private final FakeStore store = new FakeStore();
    private final EventLoop eventLoop = new DefaultEventLoop();
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
    private final DutyDriver driver = DutyDriver.create(
            new DutyHolder(SELF, IncarnationId.fromString("i1"), "127.0.0.1:1", 0),
            LeaseTiming.ofTtl(3_000),
            SITE,
            store,
            follower,
            clock,
            (event, fields) -> {});

    @AfterEach
    void endEventLoop() {
        eventLoop.shutdownGracefully();
    }

    private void acquireDuty() {
        // The next read is far away.
        follower.shareReads(() -> 1_000, changes -> {});
        follower.start();
        for (int i = 0; i < 40 && driver.authority(DUTY).isEmpty(); i++) {
            driver.tick(Set.of(DUTY), Set.of(SELF));
            clock.monotonicMillis += 250;
            clock.epochMillis += 250;
        }
        assertTrue(driver.authority(DUTY).isPresent());
    }

    @Test
    void vacantDutyIsAcquiredWithTheRevisionOfItsKeyAsFencingNumber() {
        acquireDuty();
        assertEquals(
                store.values.get(DUTY.key(SITE)).createRevision(),
                driver.authority(DUTY).orElseThrow().fencingNumber());
    }

    /** Guards against two holders with one fencing number, as the restored store gives out revisions again. */
    @Test
    void fencingNumbersGrowOverARestore() {
        acquireDuty();
        long before = driver.authority(DUTY).orElseThrow().fencingNumber();
        store.restore(5);
        follower.onStoreRestored();
        driver.onStoreRestored();
        assertTrue(driver.authority(DUTY).isEmpty());
        acquireDuty();
        assertTrue(store.values.get(DUTY.key(SITE)).createRevision() <= before, "the revision is given out again");
        assertTrue(driver.authority(DUTY).orElseThrow().fencingNumber() > before);
    }

    /** Guards against numbers that begin anew for a node that starts after the restore, as it knows no earlier era. */
    @Test
    void nodeThatStartsAfterARestoreCountsFromTheRecordedEra() {
        store.restore(5);
        byte[] recorded = "1".getBytes(StandardCharsets.US_ASCII);
        store.values.put(FIRST_ERA_KEY, new VersionedValue(FIRST_ERA_KEY, recorded, 4, 4));
        acquireDuty();
        assertEquals(
                (1L << 32) + store.values.get(DUTY.key(SITE)).createRevision(),
                driver.authority(DUTY).orElseThrow().fencingNumber());
    }

    /** The advance of the clocks; in the last row the wall clock is set back. */
    @ParameterizedTest
    @CsvSource({"0, 10000", "10000, 10000", "10000, 0", "3000, -60000"})
    void authorityEndsWhenTheLeaseExpiresByEitherClockAndReturnsWithARenewal(long monotonicMillis, long epochMillis) {
        acquireDuty();
        clock.monotonicMillis += monotonicMillis;
        clock.epochMillis += epochMillis;
        assertTrue(driver.authority(DUTY).isEmpty());
        // The next renewal confirms that the duty is still held.
        clock.monotonicMillis += 1_000;
        clock.epochMillis += 1_000;
        driver.tick(Set.of(DUTY), Set.of(SELF));
        assertTrue(driver.authority(DUTY).isPresent(), "no authority after the renewal");
    }
}
