package org.cactusshift.internal.transport.store;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.DaemonThreads;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.cactusshift.internal.coordination.store.Watch;
import org.cactusshift.internal.coordination.store.WatchListener;
import org.cactusshift.internal.protocol.etcd.EtcdRequest;
import org.cactusshift.internal.protocol.etcd.EtcdRequests;
import org.cactusshift.internal.protocol.etcd.EtcdResponses;

/**
 * The key-value service over the JSON form of the etcd v3 interface.
 *
 * <p>The addresses are tried in turn, starting with the one that answered last. A write goes to the next address only
 * when no byte of it can have been sent; once a byte may have been sent, anything but an answer is an unknown effect.
 * A read that fails on a connection that served earlier calls is sent again on a fresh one, since open connections may
 * go silent while new ones work.
 */
public final class EtcdKeyValueStore implements KeyValueStore, AutoCloseable {
    private static final int HTTP_OK = 200;

    private static final int HTTP_TOO_MANY_REQUESTS = 429;

    private static final int HTTP_SERVER_ERROR = 500;

    private final EtcdStoreSettings settings;

    private final List<StoreConnectionPool> pools;

    private final AtomicInteger preferred = new AtomicInteger();

    private final ScheduledExecutorService deadlines;

    private final ExecutorService watchReaders;

    private final Set<Watch> watches = ConcurrentHashMap.newKeySet();

    private EtcdKeyValueStore(EtcdStoreSettings settings) {
        this.settings = settings;
        this.pools = settings.addresses().stream()
                .map(address -> new StoreConnectionPool(address, settings))
                .toList();
        this.deadlines = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("store-deadlines"));
        this.watchReaders = Executors.newCachedThreadPool(DaemonThreads.named("store-watch"));
    }

    /**
     * Creates a client of the service; opens no connection yet.
     *
     * @param settings the addresses and limits
     * @return the store, to be closed by the caller
     */
    public static EtcdKeyValueStore create(EtcdStoreSettings settings) {
        return new EtcdKeyValueStore(settings);
    }

    @Override
    public Either<Failure, Optional<VersionedValue>> get(String key) {
        return read("get key", EtcdRequests.get(key), EtcdResponses::rangeResult)
                .map(range -> range.values().stream().findFirst());
    }

    @Override
    public Either<Failure, RangeResult> list(String prefix) {
        return read("list keys", EtcdRequests.listPrefix(prefix), EtcdResponses::rangeResult);
    }

    @Override
    public Either<Failure, SwapResult> compareAndSwap(
            String key, long expectedModRevision, byte[] value, LeaseGrant lease) {
        EtcdRequest request = EtcdRequests.compareAndSwap(key, expectedModRevision, value, lease);
        return write("write key", request, EtcdResponses::swapResult);
    }

    @Override
    public Either<Failure, SwapResult> compareAndDelete(String key, long expectedModRevision) {
        return write("delete key", EtcdRequests.compareAndDelete(key, expectedModRevision), EtcdResponses::swapResult);
    }

    @Override
    public Either<Failure, LeaseGrant> grantLease(long ttlMillis) {
        return write("grant lease", EtcdRequests.grantLease(ttlMillis), EtcdResponses::leaseGrant);
    }

    @Override
    public Either<Failure, LeaseGrant> keepAlive(LeaseGrant lease) {
        String step = "renew lease";
        return write(step, EtcdRequests.keepAlive(lease.leaseId()), EtcdResponses::keepAlive)
                .flatMap(renewed -> renewed.<Either<Failure, LeaseGrant>>map(Either::right)
                        .orElseGet(() -> Either.left(Failure.rejected(step, peer(), "the lease has ended"))));
    }

    @Override
    public Either<Failure, LeaseGrant> revokeLease(LeaseGrant lease) {
        return write("revoke lease", EtcdRequests.revokeLease(lease.leaseId()), body -> lease);
    }

    @Override
    public Either<Failure, Watch> watch(String prefix, long fromRevision, WatchListener listener) {
        EtcdRequest request = EtcdRequests.watch(prefix, fromRevision);
        Failure failure = null;
        int first = preferred.get();
        for (int i = 0; i < pools.size(); i++) {
            StoreConnectionPool pool = pools.get((first + i) % pools.size());
            try {
                return Either.right(start(EtcdWatch.open(pool.address(), request, settings, listener)));
            } catch (IOException e) {
                failure = Failure.noEffect("open watch", pool.address(), String.valueOf(e.getMessage()));
            }
        }
        preferred.compareAndSet(first, (first + 1) % pools.size());
        return Either.left(failure);
    }

    /** Ends all watches and closes all connections. */
    @Override
    public void close() {
        watches.forEach(Watch::close);
        pools.forEach(StoreConnectionPool::close);
        watchReaders.shutdownNow();
        deadlines.shutdownNow();
    }

    private Watch start(EtcdWatch watch) {
        watches.add(watch);
        watchReaders.execute(() -> {
            watch.run();
            watches.remove(watch);
        });
        return watch;
    }

    private <T> Either<Failure, T> read(String step, EtcdRequest request, Decoder<T> decoder) {
        return call(step, request, decoder, false);
    }

    private <T> Either<Failure, T> write(String step, EtcdRequest request, Decoder<T> decoder) {
        return call(step, request, decoder, true);
    }

    private <T> Either<Failure, T> call(String step, EtcdRequest request, Decoder<T> decoder, boolean isWrite) {
        Either<Failure, T> result = null;
        int first = preferred.get();
        for (int i = 0; i < pools.size(); i++) {
            int index = (first + i) % pools.size();
            result = callAt(pools.get(index), step, request, decoder, isWrite);
            if (result.isRight()) {
                preferred.set(index);
                return result;
            }
            if (result.getLeft().kind() != Failure.Kind.NO_EFFECT) {
                break;
            }
        }
        preferred.compareAndSet(first, (first + 1) % pools.size());
        return result;
    }

    private <T> Either<Failure, T> callAt(
            StoreConnectionPool pool, String step, EtcdRequest request, Decoder<T> decoder, boolean isWrite) {
        try {
            StoreConnection connection = pool.acquire();
            Either<Failure, T> result = callOn(connection, pool, step, request, decoder, isWrite);
            boolean isWorthAnother = !isWrite && connection.isReused() && connection.isBroken();
            return isWorthAnother ? callOn(pool.open(), pool, step, request, decoder, false) : result;
        } catch (IOException e) {
            return Either.left(Failure.noEffect(step, pool.address(), "cannot connect: " + e.getMessage()));
        }
    }

    private <T> Either<Failure, T> callOn(
            StoreConnection connection,
            StoreConnectionPool pool,
            String step,
            EtcdRequest request,
            Decoder<T> decoder,
            boolean isWrite) {
        Future<?> deadline = deadlines.schedule(connection::abort, settings.callTimeoutMillis(), TimeUnit.MILLISECONDS);
        try {
            StoreConnection.StoreResponse answer = connection.exchange(request, settings.callTimeoutMillis());
            Either<Failure, T> result = decode(pool, step, answer, decoder, isWrite);
            if (deadline.cancel(false)) {
                pool.release(connection);
            }
            return result;
        } catch (IOException e) {
            deadline.cancel(false);
            connection.markBroken();
            pool.closeIdle();
            return Either.left(broken(isWrite, step, pool.address(), "no answer: " + e.getMessage()));
        }
    }

    private static <T> Either<Failure, T> decode(
            StoreConnectionPool pool,
            String step,
            StoreConnection.StoreResponse answer,
            Decoder<T> decoder,
            boolean isWrite)
            throws IOException {
        if (answer.status() == HTTP_OK) {
            return Either.right(decoder.decode(answer.body()));
        }
        String message = "status " + answer.status() + ": " + EtcdResponses.errorMessage(answer.body());
        if (answer.status() == HTTP_TOO_MANY_REQUESTS) {
            return Either.left(Failure.noEffect(step, pool.address(), message));
        }
        // A server error may be the service's own timeout, after which the write may still be applied.
        return Either.left(
                answer.status() >= HTTP_SERVER_ERROR
                        ? broken(isWrite, step, pool.address(), message)
                        : Failure.rejected(step, pool.address(), message));
    }

    private static Failure broken(boolean isWrite, String step, String peer, String message) {
        return isWrite ? Failure.unknownEffect(step, peer, message) : Failure.noEffect(step, peer, message);
    }

    private String peer() {
        return pools.get(preferred.get()).address();
    }

    /** Reads the body of a successful answer. */
    private interface Decoder<T> {
        T decode(byte[] body) throws IOException;
    }
}
