package org.cactusshift.internal.coordination.store;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cactusshift.errors.Failure;

/**
 * An in-memory key-value store with fault injection.
 *
 * <p>Leases expire by the given clock, which is checked at each call and in {@link #expireLeases()}. Watch listeners
 * run on the thread of the call that made the change, after the call took effect. Thread-safe.
 */
public final class InMemoryKeyValueStore implements KeyValueStore {
    private static final System.Logger LOGGER = System.getLogger(InMemoryKeyValueStore.class.getName());

    private static final String PEER = "in-memory store";

    /** A watch that starts before the retained changes ends with a rejection. */
    private static final int HISTORY_LIMIT_CHANGES = 100_000;

    private final Object lock = new Object();

    private final KeyValueState state = KeyValueState.create(HISTORY_LIMIT_CHANGES);

    private final Queue<Runnable> delayedEffects = new ArrayDeque<>();

    private final List<InMemoryWatch> watches = new CopyOnWriteArrayList<>();

    private final LongSupplier nowMillis;

    private volatile StoreFaultInjector faults = StoreFaultInjector.NONE;

    private InMemoryKeyValueStore(LongSupplier nowMillis) {
        this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    }

    /**
     * Creates an empty store.
     *
     * @param nowMillis returns the current time, in milliseconds
     * @return the store
     */
    public static InMemoryKeyValueStore create(LongSupplier nowMillis) {
        return new InMemoryKeyValueStore(nowMillis);
    }

    /**
     * Sets the fault injector for later calls.
     *
     * @param faults the fault injector
     * @return this store
     */
    public InMemoryKeyValueStore setFaultInjector(StoreFaultInjector faults) {
        this.faults = Objects.requireNonNull(faults, "faults");
        return this;
    }

    /**
     * Applies the writes, lease calls included, that {@link StoreFault#DELAY_EFFECT} delayed, in their order.
     *
     * @return the number of writes applied
     */
    public int applyDelayed() {
        List<Runnable> due;
        synchronized (lock) {
            due = new ArrayList<>(delayedEffects);
            delayedEffects.clear();
            due.forEach(Runnable::run);
        }
        deliverToWatches();
        return due.size();
    }

    /**
     * Expires every lease whose time to live has passed and notifies the watches.
     *
     * @return the number of expired leases
     */
    public int expireLeases() {
        int expiredLeases;
        synchronized (lock) {
            expiredLeases = state.expireLeases(nowMillis.getAsLong());
        }
        deliverToWatches();
        return expiredLeases;
    }

    /** Reports the current revision to every watch. */
    public void reportProgress() {
        watches.forEach(InMemoryWatch::reportProgress);
    }

    /** Ends every watch, as if the connection was lost. */
    public void endWatches() {
        watches.forEach(watch -> watch.end(Failure.noEffect("watch", PEER, "connection lost")));
    }

    @Override
    public Either<Failure, Optional<VersionedValue>> get(String key) {
        return call(StoreCallKind.GET, key, () -> Either.right(state.get(key)));
    }

    @Override
    public Either<Failure, RangeResult> list(String prefix) {
        return call(StoreCallKind.LIST, prefix, () -> Either.right(state.list(prefix)));
    }

    @Override
    public Either<Failure, SwapResult> compareAndSwap(
            String key, long expectedModRevision, byte[] value, LeaseGrant lease) {
        byte[] copy = value.clone();
        return call(
                StoreCallKind.SWAP, key, () -> state.compareAndSwap(key, expectedModRevision, copy, lease.leaseId()));
    }

    @Override
    public Either<Failure, SwapResult> compareAndDelete(String key, long expectedModRevision) {
        return call(StoreCallKind.DELETE, key, () -> Either.right(state.compareAndDelete(key, expectedModRevision)));
    }

    @Override
    public Either<Failure, LeaseGrant> grantLease(long ttlMillis) {
        return call(
                StoreCallKind.LEASE_GRANT, "", () -> Either.right(state.grantLease(ttlMillis, nowMillis.getAsLong())));
    }

    @Override
    public Either<Failure, LeaseGrant> keepAlive(LeaseGrant lease) {
        return call(
                StoreCallKind.LEASE_RENEWAL,
                Long.toString(lease.leaseId()),
                () -> state.keepAlive(lease.leaseId(), nowMillis.getAsLong()));
    }

    @Override
    public Either<Failure, LeaseGrant> revokeLease(LeaseGrant lease) {
        return call(
                StoreCallKind.LEASE_REVOKE, Long.toString(lease.leaseId()), () -> state.revokeLease(lease.leaseId()));
    }

    @Override
    public Either<Failure, Watch> watch(String prefix, long fromRevision, WatchListener listener) {
        InMemoryWatch watch = new InMemoryWatch(prefix, fromRevision, listener);
        Either<Failure, Watch> opened = call(StoreCallKind.WATCH, prefix, () -> {
            watches.add(watch);
            return Either.right(watch);
        });
        watch.deliver();
        return opened;
    }

    private <T> Either<Failure, T> call(StoreCallKind kind, String key, Supplier<Either<Failure, T>> effect) {
        StoreFault fault = faults.nextFault(kind, key);
        Either<Failure, T> result;
        synchronized (lock) {
            state.expireLeases(nowMillis.getAsLong());
            result = callLocked(kind, fault, effect);
        }
        deliverToWatches();
        return result;
    }

    private <T> Either<Failure, T> callLocked(
            StoreCallKind kind, StoreFault fault, Supplier<Either<Failure, T>> effect) {
        switch (fault) {
            case UNAVAILABLE:
                return Either.left(Failure.noEffect(stepOf(kind), PEER, "unavailable"));
            case LOSE_REQUEST:
                return Either.left(timeoutFailure(kind));
            case LOSE_ANSWER:
                if (kind.isWrite()) {
                    effect.get();
                }
                return Either.left(timeoutFailure(kind));
            case DELAY_EFFECT:
                if (kind.isWrite()) {
                    delayedEffects.add(effect::get);
                }
                return Either.left(timeoutFailure(kind));
            default:
                return effect.get();
        }
    }

    private static Failure timeoutFailure(StoreCallKind kind) {
        String message = "no response before the timeout";
        return kind.isWrite()
                ? Failure.unknownEffect(stepOf(kind), PEER, message)
                : Failure.noEffect(stepOf(kind), PEER, message);
    }

    private static String stepOf(StoreCallKind kind) {
        return "store call " + kind;
    }

    private void deliverToWatches() {
        watches.forEach(InMemoryWatch::deliver);
    }

    /** An open watch. At most one thread at a time runs its listener; other threads only add events and do not wait. */
    private final class InMemoryWatch implements Watch {
        private final String prefix;

        private final WatchListener listener;

        private final Queue<Runnable> events = new ArrayDeque<>();

        private long nextRevision;

        /** The thread that runs the listener at present; null when none does. */
        private Thread listenerThread;

        private boolean closed;

        InMemoryWatch(String prefix, long fromRevision, WatchListener listener) {
            this.prefix = prefix;
            this.nextRevision = Math.max(1, fromRevision);
            this.listener = Objects.requireNonNull(listener, "listener");
        }

        void deliver() {
            synchronized (lock) {
                queueChanges();
            }
            runListener();
        }

        void reportProgress() {
            synchronized (lock) {
                queueChanges();
                long revision = state.revision();
                events.add(() -> listener.onProgress(revision));
            }
            runListener();
        }

        void end(Failure failure) {
            synchronized (lock) {
                queueEnd(failure);
            }
            runListener();
        }

        @Override
        public void close() {
            watches.remove(this);
            synchronized (lock) {
                closed = true;
                try {
                    while (listenerThread != null && listenerThread != Thread.currentThread()) {
                        lock.wait();
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        private void queueChanges() {
            Either<Failure, List<KeyChange>> changes = state.changes(prefix, nextRevision);
            nextRevision = Math.max(nextRevision, state.revision() + 1);
            if (changes.isLeft()) {
                queueEnd(changes.getLeft());
            } else {
                changes.get().forEach(this::queueChange);
            }
        }

        private void queueChange(KeyChange change) {
            events.add(() -> listener.onChange(change.key(), change.value(), change.revision()));
        }

        private void queueEnd(Failure failure) {
            watches.remove(this);
            events.add(() -> {
                markClosed();
                listener.onEnd(failure);
            });
        }

        private void markClosed() {
            synchronized (lock) {
                closed = true;
            }
        }

        private void runListener() {
            synchronized (lock) {
                if (listenerThread != null) {
                    return;
                }
                listenerThread = Thread.currentThread();
            }
            Runnable event = nextEvent();
            while (event != null) {
                run(event);
                event = nextEvent();
            }
        }

        private void run(Runnable event) {
            try {
                event.run();
            } catch (RuntimeException e) {
                LOGGER.log(System.Logger.Level.ERROR, "watch listener threw an exception; the event is skipped", e);
            }
        }

        private Runnable nextEvent() {
            synchronized (lock) {
                Runnable event = closed ? null : events.poll();
                if (event == null) {
                    listenerThread = null;
                    lock.notifyAll();
                }
                return event;
            }
        }
    }
}
