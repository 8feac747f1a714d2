package org.cactusshift.internal.coordination.store;

import io.vavr.control.Either;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cactusshift.errors.Failure;

/**
 * Keeps the calls of one node to a key-value store within a budget and counts them.
 *
 * <p>A call over the budget is not sent and fails with {@link Failure.Kind#THROTTLED}. A part of the budget of writes
 * is left to renewals of leases, since a lease that lapses costs far more than a late write. Safe for use by several
 * threads.
 */
public final class BudgetedKeyValueStore implements KeyValueStore {
    private static final String PEER = "local";

    private final KeyValueStore store;

    private final LongSupplier nowNanos;

    private final Object lock = new Object();

    private final TokenBucket writes;

    private final TokenBucket reads;

    private final Map<StoreCallKind, LongAdder> calls = new EnumMap<>(StoreCallKind.class);

    private final Map<StoreCallKind, LongAdder> throttled = new EnumMap<>(StoreCallKind.class);

    private final AtomicInteger openWatches = new AtomicInteger();

    private BudgetedKeyValueStore(KeyValueStore store, StoreBudget budget, LongSupplier nowNanos) {
        this.store = store;
        this.nowNanos = nowNanos;
        long createdNanos = nowNanos.getAsLong();
        this.writes = TokenBucket.create(budget.writesPerSecond(), budget.burstSeconds(), createdNanos);
        this.reads = TokenBucket.create(budget.readsPerSecond(), budget.burstSeconds(), createdNanos);
        for (StoreCallKind kind : StoreCallKind.values()) {
            calls.put(kind, new LongAdder());
            throttled.put(kind, new LongAdder());
        }
    }

    /**
     * Creates a store that keeps to a budget.
     *
     * @param store the store that the calls go to
     * @param budget the budget
     * @param nowNanos shows the present time on a monotonic clock, in nanoseconds
     * @return the store
     */
    public static BudgetedKeyValueStore create(KeyValueStore store, StoreBudget budget, LongSupplier nowNanos) {
        return new BudgetedKeyValueStore(store, budget, nowNanos);
    }

    /**
     * Returns how many calls of a kind were sent.
     *
     * @param kind the kind
     * @return the number since the creation
     */
    public long calls(StoreCallKind kind) {
        return calls.get(kind).sum();
    }

    /**
     * Returns how many calls of a kind were held back.
     *
     * @param kind the kind
     * @return the number since the creation
     */
    public long throttled(StoreCallKind kind) {
        return throttled.get(kind).sum();
    }

    /**
     * Returns how many watches wait now; the service counts each as a call.
     *
     * @return the number
     */
    public int openWatches() {
        return openWatches.get();
    }

    @Override
    public Either<Failure, Optional<VersionedValue>> get(String key) {
        return call(StoreCallKind.GET, () -> store.get(key));
    }

    @Override
    public Either<Failure, RangeResult> list(String prefix) {
        return call(StoreCallKind.LIST, () -> store.list(prefix));
    }

    @Override
    public Either<Failure, SwapResult> compareAndSwap(
            String key, long expectedModRevision, byte[] value, LeaseGrant lease) {
        return call(StoreCallKind.SWAP, () -> store.compareAndSwap(key, expectedModRevision, value, lease));
    }

    @Override
    public Either<Failure, SwapResult> compareAndDelete(String key, long expectedModRevision) {
        return call(StoreCallKind.DELETE, () -> store.compareAndDelete(key, expectedModRevision));
    }

    @Override
    public Either<Failure, LeaseGrant> grantLease(long ttlMillis) {
        return call(StoreCallKind.LEASE_GRANT, () -> store.grantLease(ttlMillis));
    }

    @Override
    public Either<Failure, LeaseGrant> keepAlive(LeaseGrant lease) {
        return call(StoreCallKind.LEASE_RENEWAL, () -> store.keepAlive(lease));
    }

    @Override
    public Either<Failure, LeaseGrant> revokeLease(LeaseGrant lease) {
        return call(StoreCallKind.LEASE_REVOKE, () -> store.revokeLease(lease));
    }

    @Override
    public Either<Failure, Watch> watch(String prefix, long fromRevision, WatchListener listener) {
        CountedWatch counted = new CountedWatch(listener);
        return call(StoreCallKind.WATCH, () -> store.watch(prefix, fromRevision, counted))
                .map(counted::open)
                .peekLeft(failure -> counted.endCount());
    }

    private <T> Either<Failure, T> call(StoreCallKind kind, Supplier<Either<Failure, T>> send) {
        boolean taken;
        synchronized (lock) {
            TokenBucket budget = kind.isWrite() ? writes : reads;
            taken = budget.tryTake(kind == StoreCallKind.LEASE_RENEWAL, nowNanos.getAsLong());
        }
        if (!taken) {
            throttled.get(kind).increment();
            return Either.left(Failure.throttled("store call " + kind, PEER, "over the node's budget of store calls"));
        }
        calls.get(kind).increment();
        return send.get();
    }

    /** Counts a watch from its opening to its end or its closing, whichever comes first. */
    private final class CountedWatch implements Watch, WatchListener {
        private final WatchListener listener;

        private final AtomicBoolean over = new AtomicBoolean();

        private volatile Watch watch;

        CountedWatch(WatchListener listener) {
            this.listener = listener;
            openWatches.incrementAndGet();
        }

        Watch open(Watch opened) {
            watch = opened;
            return this;
        }

        @Override
        public void close() {
            watch.close();
            endCount();
        }

        @Override
        public void onChange(String key, Optional<VersionedValue> value, long revision) {
            listener.onChange(key, value, revision);
        }

        @Override
        public void onProgress(long revision) {
            listener.onProgress(revision);
        }

        @Override
        public void onEnd(Failure failure) {
            endCount();
            listener.onEnd(failure);
        }

        private void endCount() {
            if (over.compareAndSet(false, true)) {
                openWatches.decrementAndGet();
            }
        }
    }
}
