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
import org.cactusshift.internal.coordination.quarantine.Quarantine;
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
                    CrashDetector.create(Quarantine.create(1)),
                    eventLoop,
                    clock,
                    (event, fields) -> {},
                    new RelayMetrics()),
            "/cactusshift/",
            2_000);
    private final DutyDriver runner = DutyDriver.create(
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

    private void hold() {
        follower.start();
        follower.stop();
        for (int i = 0; i < 20 && runner.authority(DUTY).isEmpty(); i++) {
            runner.tick(Set.of(DUTY), Set.of(SELF));
            clock.steadyMillis += 250;
            clock.unixMillis += 250;
        }
        assertTrue(runner.authority(DUTY).isPresent());
    }

    @Test
    void dutyWithoutHolderIsTakenUnderTheRevisionOfItsKey() {
        hold();
        assertEquals(
                store.values.get(DUTY.key(SITE)).createRevision(),
                runner.authority(DUTY).orElseThrow().fencingNumber());
    }

    @ParameterizedTest
    @CsvSource({"0, 10000", "10000, 10000", "10000, 0", "3000, -60000"})
    void authorityEndsWithTheLeaseByEitherClock(long steadyMillis, long unixMillis) {
        hold();
        clock.steadyMillis += steadyMillis;
        clock.unixMillis += unixMillis;
        assertTrue(runner.authority(DUTY).isEmpty());
        // The next renewal shows that the duty is held still.
        clock.steadyMillis += 1_000;
        clock.unixMillis += 1_000;
        runner.tick(Set.of(DUTY), Set.of(SELF));
        assertTrue(runner.authority(DUTY).isPresent(), "renewed");
    }
}
