package org.cactusshift.internal.coordination.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.cactusshift.errors.Failure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class InMemoryKeyValueStoreTest {
    private static final byte[] VALUE = {1};

    private final AtomicLong nowMillis = new AtomicLong();

    private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(nowMillis::get);

    private final List<String> events = new ArrayList<>();

    @ParameterizedTest
    @CsvSource({
        // fault, failure, whether the write is applied at once, whether it is after the delayed writes are applied
        "UNAVAILABLE, NO_EFFECT, false, false",
        "LOSE_REQUEST, UNKNOWN_EFFECT, false, false",
        "LOSE_ANSWER, UNKNOWN_EFFECT, true, true",
        "DELAY_EFFECT, UNKNOWN_EFFECT, false, true"
    })
    void faultDeterminesEffectAndFailure(
            StoreFault fault, Failure.Kind kind, boolean appliedAtOnce, boolean appliedAfterDelay) {
        store.setFaultInjector((call, key) -> call == StoreCallKind.SWAP ? fault : StoreFault.NONE);
        assertEquals(
                kind,
                store.compareAndSwap("a", 0, VALUE, LeaseGrant.NONE).getLeft().kind());
        assertEquals(appliedAtOnce, store.get("a").get().isPresent());
        store.applyDelayed();
        assertEquals(appliedAfterDelay, store.get("a").get().isPresent());
    }

    @Test
    void watchDeliversHistoryChangesAndLeaseExpiry() {
        LeaseGrant lease = store.grantLease(100).get();
        store.compareAndSwap("p/a", 0, VALUE, LeaseGrant.NONE);
        Watch watch = store.watch("p/", 1, listener()).get();
        store.compareAndSwap("p/b", 0, VALUE, lease);
        store.compareAndSwap("q", 0, VALUE, lease);
        nowMillis.set(100);
        store.expireLeases();
        store.reportProgress();
        watch.close();
        store.compareAndSwap("p/c", 0, VALUE, LeaseGrant.NONE);
        assertEquals(List.of("put p/a 2", "put p/b 3", "delete p/b 5", "progress 5"), events);
    }

    @Test
    void endedWatchDeliversNoFurtherEvents() {
        store.watch("", 0, listener());
        store.endWatches();
        store.compareAndSwap("a", 0, VALUE, LeaseGrant.NONE);
        assertEquals(List.of("end"), events);
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
