package org.cactusshift.standin;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.StoreCallKind;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.cactusshift.internal.coordination.store.Watch;
import org.cactusshift.internal.coordination.store.WatchListener;
import org.cactusshift.internal.transport.store.EtcdKeyValueStore;
import org.cactusshift.internal.transport.store.EtcdStoreSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests {@link EtcdKeyValueStore} against the stand-in for the store, with lost responses, stalls and crashes. */
class EtcdKeyValueStoreTest {
    private static final byte[] VALUE = {1, -1, 0};

    private static final long CALL_TIMEOUT_MILLIS = 300;

    private static final long WATCH_TIMEOUT_MILLIS = 400;

    private static final long PROGRESS_MILLIS = 50;

    private static final long EVENT_TIMEOUT_MILLIS = 20_000;

    private final StandInKeyValueService service =
            StandInKeyValueService.create(new KeyValueSettings(0, 0, 0, PROGRESS_MILLIS));

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private EtcdKeyValueStore store;

    /** Injected faults under which a client cannot know whether its write takes effect. */
    enum Loss {
        DROPPED_AFTER_EFFECT(true),
        PAUSED(false),
        SILENT_CONNECTION(false),
        UNAVAILABLE(false);

        private final boolean takesEffectAtOnce;

        Loss(boolean takesEffectAtOnce) {
            this.takesEffectAtOnce = takesEffectAtOnce;
        }

        void inject(StandInFaults faults) {
            switch (this) {
                case DROPPED_AFTER_EFFECT -> faults.dropResponses(1);
                case PAUSED -> faults.setPaused(true);
                case SILENT_CONNECTION -> faults.stallOpenConnections();
                default -> faults.setUnavailable(true);
            }
        }
    }

    @BeforeEach
    void start() throws IOException {
        service.start();
        store = open(service.address());
    }

    @AfterEach
    void stop() {
        store.close();
        service.close();
    }

    @Test
    void writesReadsListsAndDeletesKeysAndReportsConflictOnStaleRevision() {
        assertEquals(Optional.empty(), store.get("p/a").get());
        SwapResult first = swap("p/a", 0);
        assertTrue(first.isApplied());
        assertTrue(swap("p/b", 0).isApplied());
        assertTrue(swap("q", 0).isApplied());
        SwapResult conflict = swap("p/a", 0);
        assertFalse(conflict.isApplied());
        assertEquals(first.revision(), conflict.current().orElseThrow().modRevision());
        assertArrayEquals(VALUE, conflict.current().orElseThrow().value());
        assertEquals(List.of("p/a", "p/b"), keys(store.list("p/").get()));
        assertEquals(List.of("p/a", "p/b", "q"), keys(store.list("").get()));
        assertTrue(store.compareAndDelete("p/a", first.revision()).get().isApplied());
        assertEquals(List.of("p/b"), keys(store.list("p/").get()));
    }

    @Test
    void endOfLeaseDeletesItsKeysAndExpiredLeaseIsRejected() {
        // The time to live is in whole seconds in etcd and rounded up.
        LeaseGrant lease = store.grantLease(1).get();
        assertEquals(1000, lease.ttlMillis());
        assertTrue(store.compareAndSwap("a", 0, VALUE, lease).get().isApplied());
        assertEquals(lease, store.keepAlive(lease).get());
        Await.until(() -> store.get("a").get().isEmpty());
        assertEquals(Failure.Kind.REJECTED, store.keepAlive(lease).getLeft().kind());
        assertEquals(
                Failure.Kind.REJECTED,
                store.compareAndSwap("b", 0, VALUE, lease).getLeft().kind());
        LeaseGrant other = store.grantLease(60_000).get();
        store.compareAndSwap("c", 0, VALUE, other);
        assertTrue(store.revokeLease(other).isRight());
        assertEquals(Optional.empty(), store.get("c").get());
    }

    @ParameterizedTest
    @EnumSource(Loss.class)
    void writeUnderFaultHasUnknownEffectAndLaterCallSucceeds(Loss loss) {
        swap("warm", 0);
        loss.inject(service.faults());
        assertEquals(
                Failure.Kind.UNKNOWN_EFFECT,
                store.compareAndSwap("a", 0, VALUE, LeaseGrant.NONE).getLeft().kind());
        assertEquals(loss.takesEffectAtOnce, !service.storedValues("a").values().isEmpty());
        service.faults().clear();
        assertTrue(store.get("a").isRight());
    }

    @Test
    void readOnStalledConnectionIsRetriedOnNewConnection() {
        swap("a", 0);
        service.faults().stallOpenConnections();
        assertTrue(store.get("a").get().isPresent());
    }

    @Test
    void writeThatCannotConnectHasNoEffectAndTheNextAddressIsTried() {
        service.crash();
        assertEquals(
                Failure.Kind.NO_EFFECT,
                store.compareAndSwap("a", 0, VALUE, LeaseGrant.NONE).getLeft().kind());
        try (StandInKeyValueService second = StandInKeyValueService.create(KeyValueSettings.unlimited())) {
            second.start();
            try (EtcdKeyValueStore both = open(service.address(), second.address())) {
                assertTrue(both.compareAndSwap("a", 0, VALUE, LeaseGrant.NONE).isRight());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void callsOverRateLimitHaveNoEffectAndAreCounted() throws IOException {
        try (StandInKeyValueService limited =
                StandInKeyValueService.create(KeyValueSettings.unlimited().withRates(1, 1000))) {
            limited.start();
            try (EtcdKeyValueStore client = open(limited.address())) {
                assertTrue(client.compareAndSwap("a", 0, VALUE, LeaseGrant.NONE).isRight());
                assertEquals(
                        Failure.Kind.NO_EFFECT,
                        client.compareAndSwap("b", 0, VALUE, LeaseGrant.NONE)
                                .getLeft()
                                .kind());
                assertEquals(2, limited.callCount(StoreCallKind.SWAP));
            }
        }
    }

    @Test
    void watchDeliversPastAndNewChangesOfPrefixAndProgress() throws InterruptedException {
        swap("p/a", 0);
        Watch watch = store.watch("p/", 1, listener()).get();
        assertEquals("put p/a 2", nextChange());
        swap("q", 0);
        swap("p/b", 0);
        assertEquals("put p/b 4", nextChange());
        store.compareAndDelete("p/a", 2);
        assertEquals("delete p/a 5", nextChange());
        Await.until(() -> events.contains("progress 5"));
        watch.close();
        events.clear();
        store.watch("p/", swap("p/c", 0).revision(), listener()).get();
        Await.until(() -> events.contains("progress 6"));
        assertEquals(1, events.stream().filter("put p/c 6"::equals).count());
        assertEquals(2, service.callCount(StoreCallKind.WATCH));
    }

    @ParameterizedTest
    @EnumSource(
            value = Loss.class,
            names = {"PAUSED", "SILENT_CONNECTION", "UNAVAILABLE"})
    void watchWithoutProgressEnds(Loss loss) throws InterruptedException {
        store.watch("", 1, listener()).get();
        assertEquals("progress 1", events.poll(EVENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        loss.inject(service.faults());
        Await.until(() -> events.contains("end"));
    }

    private SwapResult swap(String key, long expected) {
        return store.compareAndSwap(key, expected, VALUE, LeaseGrant.NONE).get();
    }

    private String nextChange() throws InterruptedException {
        String event = events.poll(EVENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        while (event != null && event.startsWith("progress")) {
            event = events.poll(EVENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        return event;
    }

    private static EtcdKeyValueStore open(String... addresses) {
        return EtcdKeyValueStore.create(EtcdStoreSettings.forAddresses(List.of(addresses))
                .withTimeouts(CALL_TIMEOUT_MILLIS, WATCH_TIMEOUT_MILLIS));
    }

    private static List<String> keys(RangeResult range) {
        return range.values().stream().map(VersionedValue::key).toList();
    }

    private WatchListener listener() {
        return new WatchListener() {
            @Override
            public void onChange(String key, Optional<VersionedValue> value, long revision) {
                events.add((value.isPresent() ? "put " : "delete ") + key + " " + revision);
            }

            @Override
            public void onProgress(long revision) {
                events.add("progress " + revision);
            }

            @Override
            public void onEnd(Failure failure) {
                events.add("end");
            }
        };
    }
}
