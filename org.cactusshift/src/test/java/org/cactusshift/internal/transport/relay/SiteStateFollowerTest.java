package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.SiteChanges;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SiteStateFollowerTest {
    /** The era of the store before it is restored. */
    private static final long ERA = 1;

    private static final String KEY = "/cactusshift/a";
    private static final String OTHER_KEY = "/cactusshift/b";

    private static final long DELAY_LIMIT_MILLIS = 2_000;
    private static final long LONGEST_WAIT_MILLIS = 20_000;

    /** Shorter than the node of a low rank waits after a gap. */
    private static final long MESSAGE_INTERVAL_MILLIS = 20;

    private final FakeStore store = new FakeStore();
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

    private static KeyChange put(String key, long revision) {
        return new KeyChange(key, Optional.of(new VersionedValue(key, new byte[0], revision, revision)), revision);
    }

    private static KeyChange removal(String key, long revision) {
        return new KeyChange(key, Optional.empty(), revision);
    }

    /** The list that the store returned was of revision 10. */
    @Test
    void changesThatAnotherNodeHasReadCountAsRead() {
        SiteStateFollower follower = followerAfterList();
        clock.monotonicMillis += 100_000;
        clock.epochMillis += 100_000;
        assertFalse(follower.isCurrent(clock.monotonicMillis, clock.epochMillis));
        follower.onTold(new SiteChanges(ERA, 8, 12, 30, List.of(put(KEY, 9), put(OTHER_KEY, 11))));
        assertEquals(Set.of(OTHER_KEY), follower.nodeValueByKey().keySet());
        assertTrue(follower.isCurrent(clock.monotonicMillis, clock.epochMillis));
    }

    /** Guards against a value that is back although it was removed, as an old or repeated message shows it. */
    @Test
    void oldMessageBringsNothingBack() {
        SiteStateFollower follower = followerAfterList();
        follower.onTold(new SiteChanges(ERA, 10, 11, 0, List.of(put(KEY, 11))));
        follower.onTold(new SiteChanges(ERA, 11, 12, 0, List.of(removal(KEY, 12))));
        follower.onTold(new SiteChanges(ERA, 10, 11, 0, List.of(put(KEY, 11))));
        follower.onTold(new SiteChanges(ERA, 10, 12, 0, List.of(put(KEY, 11), removal(KEY, 12))));
        follower.onTold(new SiteChanges(ERA, 10, 13, 0, List.of(put(KEY, 11))));
        assertEquals(Set.of(), follower.nodeValueByKey().keySet());
    }

    /** Guards against a state in which changes are missing because a message was lost. */
    @Test
    void changesAfterAGapAreNotUsed() {
        SiteStateFollower follower = followerAfterList();
        follower.onTold(new SiteChanges(ERA, 11, 12, 0, List.of(put(KEY, 12))));
        assertEquals(Set.of(), follower.nodeValueByKey().keySet());
        follower.onTold(new SiteChanges(ERA, 10, 12, 0, List.of(put(OTHER_KEY, 11), put(KEY, 12))));
        assertEquals(Set.of(KEY, OTHER_KEY), follower.nodeValueByKey().keySet());
    }

    /** Guards against a read that is put off by each further message after a gap, so that it never takes place. */
    @Test
    void furtherMessagesAfterAGapDoNotPutOffTheRead() throws InterruptedException {
        SiteStateFollower follower = follower(DELAY_LIMIT_MILLIS);
        eventLoop
                .submit(() -> {
                    follower.shareReads(() -> 3, changes -> {});
                    follower.start();
                })
                .sync();
        long end = System.nanoTime() + LONGEST_WAIT_MILLIS * 1_000_000;
        while (store.reads == 0) {
            assertTrue(System.nanoTime() < end, "no read");
            eventLoop
                    .submit(() -> follower.onTold(new SiteChanges(ERA, 20, 20, 0, List.of())))
                    .sync();
            Thread.sleep(MESSAGE_INTERVAL_MILLIS);
        }
        eventLoop.submit(follower::stop).sync();
    }

    /**
     * Guards against a node that never catches up after the store has turned it away: the changes of that time are
     * longer than the state, and take a slow link longer than a read may take.
     */
    @ParameterizedTest
    @CsvSource({"5000, true", "0, false"})
    void stateIsListedWhenTheChangesOfALongAbsenceTimeOut(long absenceMillis, boolean lists)
            throws InterruptedException {
        SiteStateFollower follower = follower(DELAY_LIMIT_MILLIS);
        eventLoop.submit(follower::start).sync();
        store.changesTimeOut = true;
        clock.monotonicMillis += absenceMillis;
        clock.epochMillis += absenceMillis;
        int readsBefore = store.reads;
        long end = System.nanoTime() + LONGEST_WAIT_MILLIS * 1_000_000;
        eventLoop
                .submit(() -> follower.onTold(new SiteChanges(ERA, 20, 20, 0, List.of())))
                .sync();
        while (lists ? store.lists < 2 : store.reads < readsBefore + 3) {
            assertTrue(System.nanoTime() < end, "no read");
            Thread.sleep(MESSAGE_INTERVAL_MILLIS);
        }
        eventLoop.submit(follower::stop).sync();
        assertEquals(lists, store.lists > 1);
    }

    /** Guards against a list that undoes the changes of which other nodes told while it was on its way. */
    @Test
    void listThatIsOlderThanWhatWasToldIsNotUsed() throws InterruptedException {
        SiteStateFollower follower = follower(DELAY_LIMIT_MILLIS);
        eventLoop.submit(follower::start).sync();
        store.changesTimeOut = true;
        store.beforeList = () -> follower.onTold(new SiteChanges(ERA, 10, 30, 0, List.of(put(KEY, 25))));
        clock.monotonicMillis += 5_000;
        clock.epochMillis += 5_000;
        eventLoop
                .submit(() -> follower.onTold(new SiteChanges(ERA, 20, 20, 0, List.of())))
                .sync();
        long end = System.nanoTime() + LONGEST_WAIT_MILLIS * 1_000_000;
        while (store.lists < 2) {
            assertTrue(System.nanoTime() < end, "no list");
            Thread.sleep(MESSAGE_INTERVAL_MILLIS);
        }
        eventLoop.submit(follower::stop).sync();
        assertEquals(Set.of(KEY), follower.nodeValueByKey().keySet());
    }

    /** Guards against a state without what was written after a restore under revisions that had been read before. */
    @Test
    void allKeysAreReadAgainAfterARestore() throws InterruptedException {
        SiteStateFollower follower = follower(DELAY_LIMIT_MILLIS);
        store.era().setRiseListener(formerEra -> follower.onStoreRestored());
        eventLoop.submit(follower::start).sync();
        eventLoop.submit(() -> store.restore(4)).sync();
        long end = System.nanoTime() + LONGEST_WAIT_MILLIS * 1_000_000;
        while (store.lists < 2) {
            assertTrue(System.nanoTime() < end, "no list");
            Thread.sleep(MESSAGE_INTERVAL_MILLIS);
        }
        eventLoop.submit(follower::stop).sync();
        assertTrue(follower.hasReadCurrentEra());
    }

    /** The rows: the era of a message, the time since the start, and whether its changes are used in era 1. */
    @ParameterizedTest
    @CsvSource({"1, 0, true", "0, 20000, false", "2, 20000, false", "-1, 9000, false", "-1, 10000, true"})
    void changesOfAnotherEraAreNotUsed(long era, long sinceStartMillis, boolean used) {
        SiteStateFollower follower = followerAfterList();
        clock.monotonicMillis += sinceStartMillis;
        follower.onTold(new SiteChanges(era, 10, 12, 0, List.of(put(KEY, 11))));
        assertEquals(used, follower.nodeValueByKey().containsKey(KEY));
    }

    /** Guards against changes of both eras in a message of a build that knows no eras. */
    @Test
    void messagesWithoutAnEraAreNotUsedAfterARestore() {
        SiteStateFollower follower = followerAfterList();
        clock.monotonicMillis += 20_000;
        // The read that the restore causes is far away.
        follower.shareReads(() -> 1_000, changes -> {});
        follower.onStoreRestored();
        follower.start();
        clock.monotonicMillis += 20_000;
        follower.onTold(new SiteChanges(SiteChanges.UNKNOWN_ERA, 10, 12, 0, List.of(put(KEY, 11))));
        assertEquals(Set.of(), follower.nodeValueByKey().keySet());
    }

    /** Returns a follower that has listed all keys; its next read is far away. */
    private SiteStateFollower followerAfterList() {
        SiteStateFollower follower = follower(100_000);
        follower.start();
        return follower;
    }

    private SiteStateFollower followerThatReadOnce(long delayLimitMillis) {
        SiteStateFollower follower = follower(delayLimitMillis);
        follower.start();
        follower.stop();
        return follower;
    }

    private SiteStateFollower follower(long delayLimitMillis) {
        return SiteStateFollower.create(
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
                delayLimitMillis);
    }
}
