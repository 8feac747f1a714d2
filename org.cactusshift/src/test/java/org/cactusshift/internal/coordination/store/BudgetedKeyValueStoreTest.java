package org.cactusshift.internal.coordination.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cactusshift.errors.Failure;
import org.junit.jupiter.api.Test;

class BudgetedKeyValueStoreTest {
    private static final WatchListener IGNORING = new WatchListener() {
        @Override
        public void onChange(String key, Optional<VersionedValue> value, long revision) {
            // The tests check only the number of watches.
        }

        @Override
        public void onProgress(long revision) {
            // The tests check only the number of watches.
        }

        @Override
        public void onEnd(Failure failure) {
            // The tests check only the number of watches.
        }
    };

    private final AtomicLong nowNanos = new AtomicLong();

    private final InMemoryKeyValueStore inner = InMemoryKeyValueStore.create(() -> 0);

    // Four writes a second with a burst of 2 s: capacity 8, of which 2 are reserved for renewals.
    private final BudgetedKeyValueStore store =
            BudgetedKeyValueStore.create(inner, new StoreBudget(4, 100, 2), nowNanos::get);

    @Test
    void writesDoNotUseTheReserveForRenewals() {
        LeaseGrant lease = store.grantLease(1000).get();
        Either<Failure, SwapResult> throttled = writeUntilThrottled();
        assertEquals(Failure.Kind.THROTTLED, throttled.getLeft().kind());
        assertEquals(5, store.calls(StoreCallKind.SWAP));
        assertEquals(1, store.throttled(StoreCallKind.SWAP));
        assertTrue(store.keepAlive(lease).isRight());
        assertTrue(store.keepAlive(lease).isRight());
        assertTrue(store.keepAlive(lease).isLeft());
        nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(1) / 4);
        assertTrue(store.keepAlive(lease).isRight());
        assertTrue(store.get("a").isRight());
    }

    @Test
    void idleTimeAccumulatesNoMoreThanTheBurst() {
        nowNanos.addAndGet(TimeUnit.HOURS.toNanos(1));
        writeUntilThrottled();
        assertEquals(6, store.calls(StoreCallKind.SWAP));
    }

    @Test
    void watchIsCountedAsOpenUntilItEndsOrIsClosed() {
        Watch first = store.watch("a", 1, IGNORING).get();
        store.watch("b", 1, IGNORING).get();
        assertEquals(2, store.openWatches());
        first.close();
        first.close();
        assertEquals(1, store.openWatches());
        inner.endWatches();
        assertEquals(0, store.openWatches());
        inner.setFaultInjector((kind, key) -> StoreFault.UNAVAILABLE);
        assertTrue(store.watch("c", 1, IGNORING).isLeft());
        assertEquals(0, store.openWatches());
    }

    private Either<Failure, SwapResult> writeUntilThrottled() {
        Either<Failure, SwapResult> result = store.compareAndSwap("k", 0, new byte[0], LeaseGrant.NONE);
        while (result.isRight()) {
            result = store.compareAndSwap("k", 0, new byte[0], LeaseGrant.NONE);
        }
        return result;
    }
}
