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
 * A key-value store that limits the call rate of one node to a budget and counts the calls.
 *
 * <p>A call over the budget is not sent and fails with {@link Failure.Kind#THROTTLED}. Part of the write budget is
 * reserved for lease renewals: an expired lease costs far more than a late write, as it ends all duties of the node.
 * Thread-safe.
 */
public final class BudgetedKeyValueStore implements KeyValueStore {
    /** The peer named in the failures of throttled calls, which are not sent to the store. */
    private static final String FAILURE_PEER = "local";

    private final KeyValueStore store;

    private final LongSupplier monotonicNanos;

    private final Object lock = new Object();

    private final TokenBucket writes;

    private final TokenBucket reads;

    private final Map<StoreCallKind, LongAdder> callsByKind = new EnumMap<>(StoreCallKind.class);

    private final Map<StoreCallKind, LongAdder> throttledCallsByKind = new EnumMap<>(StoreCallKind.class);

    private final AtomicInteger openWatches = new AtomicInteger();

    private BudgetedKeyValueStore(KeyValueStore store, StoreBudget budget, LongSupplier monotonicNanos) {
        this.store = store;
        this.monotonicNanos = monotonicNanos;
        long createdNanos = monotonicNanos.getAsLong();
        this.writes = TokenBucket.create(budget.writesPerSecond(), budget.burstSeconds(), createdNanos);
        this.reads = TokenBucket.create(budget.readsPerSecond(), budget.burstSeconds(), createdNanos);
        for (StoreCallKind kind : StoreCallKind.values()) {
            callsByKind.put(kind, new LongAdder());
            throttledCallsByKind.put(kind, new LongAdder());
        }
    }

    /**
     * Creates a store that limits its calls to a budget.
     *
     * @param store the store that receives the calls
     * @param budget the budget
     * @param monotonicNanos returns the current monotonic time, in nanoseconds
     * @return the store
     */
    public static BudgetedKeyValueStore create(KeyValueStore store, StoreBudget budget, LongSupplier monotonicNanos) {
        return new BudgetedKeyValueStore(store, budget, monotonicNanos);
    }

    /**
     * Returns the number of calls of a kind that were sent.
     *
     * @param kind the kind
     * @return the number since this store was created
     */
    public long calls(StoreCallKind kind) {
        return callsByKind.get(kind).sum();
    }

    /**
     * Returns the number of calls of a kind that were throttled.
     *
     * @param kind the kind
     * @return the number since this store was created
     */
    public long throttled(StoreCallKind kind) {
        return throttledCallsByKind.get(kind).sum();
    }

    /**
     * Returns the number of watches that have neither ended nor been closed. Opening a watch counts as one call.
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
                .map(counted::setDelegate)
                .peekLeft(failure -> counted.uncount());
    }

    private <T> Either<Failure, T> call(StoreCallKind kind, Supplier<Either<Failure, T>> send) {
        boolean admitted;
        synchronized (lock) {
            TokenBucket bucket = kind.isWrite() ? writes : reads;
            admitted = bucket.tryTake(kind == StoreCallKind.LEASE_RENEWAL, monotonicNanos.getAsLong());
        }
        if (!admitted) {
            throttledCallsByKind.get(kind).increment();
            return Either.left(Failure.throttled(
                    "store call " + kind, FAILURE_PEER, "the node's budget of store calls does not permit it now"));
        }
        callsByKind.get(kind).increment();
        return send.get();
    }

    /** Counts a watch as open until it ends or is closed, whichever comes first. */
    private final class CountedWatch implements Watch, WatchListener {
        private final WatchListener listener;

        private final AtomicBoolean uncounted = new AtomicBoolean();

        private volatile Watch delegate;

        CountedWatch(WatchListener listener) {
            this.listener = listener;
            openWatches.incrementAndGet();
        }

        Watch setDelegate(Watch opened) {
            delegate = opened;
            return this;
        }

        @Override
        public void close() {
            delegate.close();
            uncount();
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
            uncount();
            listener.onEnd(failure);
        }

        private void uncount() {
            if (uncounted.compareAndSet(false, true)) {
                openWatches.decrementAndGet();
            }
        }
    }
}
