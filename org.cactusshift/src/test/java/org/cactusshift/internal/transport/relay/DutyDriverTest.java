package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DutyDriverTest {
    private static final DutyId DUTY = DutyId.usage(0);
    private static final SiteId SITE = SiteId.fromString("site");
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
            2_000);
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
        // Reads the store once only.
        follower.start();
        follower.stop();
        for (int i = 0; i < 20 && driver.authority(DUTY).isEmpty(); i++) {
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
