package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SiteStateFollowerTest {
    private final SettableClock clock = new SettableClock();
    private final EventLoop eventLoop = new DefaultEventLoop();

    @AfterEach
    void endEventLoop() {
        eventLoop.shutdownGracefully();
    }

    /** Guards against a state that counts as outdated between two reads where changes may be seen late. */
    @ParameterizedTest
    @CsvSource({"2000, 1600, true", "2000, 1700, false", "11000, 8800, true", "11000, 8900, false", "100, 1500, true"})
    void stateIsCurrentForTheTimeOfTwoReads(long delayLimitMillis, long ageMillis, boolean current) {
        SiteStateFollower follower = followerThatReadOnce(delayLimitMillis);
        assertEquals(current, follower.isCurrent(clock.monotonicMillis + ageMillis, clock.epochMillis + ageMillis));
    }

    /** Guards against a state that counts as current although the machine was suspended since it was read. */
    @ParameterizedTest
    @CsvSource({"0, true", "1600, true", "1700, false", "5000, false", "-5000, false"})
    void stateIsOutdatedAfterASuspension(long suspendedMillis, boolean current) {
        SiteStateFollower follower = followerThatReadOnce(2_000);
        assertEquals(current, follower.isCurrent(clock.monotonicMillis, clock.epochMillis + suspendedMillis));
    }

    private SiteStateFollower followerThatReadOnce(long delayLimitMillis) {
        SiteStateFollower follower = SiteStateFollower.create(
                new SiteStateFollower.Dependencies(
                        new FakeStore(),
                        FakeDecoder.of(),
                        UpstreamDirectory.create(service -> 1, 1),
                        CrashDetector.create(CrashHistory.create(1), crash -> {}),
                        eventLoop,
                        clock,
                        (event, fields) -> {},
                        new RelayMetrics()),
                "/cactusshift/",
                delayLimitMillis);
        follower.start();
        follower.stop();
        return follower;
    }
}
