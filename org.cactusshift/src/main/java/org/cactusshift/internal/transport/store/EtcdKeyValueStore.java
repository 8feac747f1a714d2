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
 * A key-value store client that uses the JSON gateway of the etcd v3 API.
 *
 * <p>The addresses are tried in turn, starting with the one that responded last, or after a failed call with the next
 * one. A write is sent to the next address only if it certainly had no effect: no byte of it can have been sent, or the
 * store refused it with status 429. Once a byte may have been sent, a write without a response has an unknown effect. A
 * read that fails on a reused connection is retried on a new one, since open connections may become unresponsive while
 * new ones work.
 */
public final class EtcdKeyValueStore implements KeyValueStore, AutoCloseable {
    private static final int HTTP_OK = 200;

    private static final int HTTP_TOO_MANY_REQUESTS = 429;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final EtcdStoreSettings settings;

    private final List<StoreConnectionPool> pools;

    private final AtomicInteger preferredPoolIndex = new AtomicInteger();

    private final ScheduledExecutorService deadlineScheduler;

    private final ExecutorService watchExecutor;

    private final Set<Watch> watches = ConcurrentHashMap.newKeySet();

    private EtcdKeyValueStore(EtcdStoreSettings settings) {
        this.settings = settings;
        this.pools = settings.addresses().stream()
                .map(address -> new StoreConnectionPool(address, settings))
                .toList();
        this.deadlineScheduler = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("store-deadlines"));
        this.watchExecutor = Executors.newCachedThreadPool(DaemonThreads.named("store-watch"));
    }

    /**
     * Creates a client without opening a connection.
     *
     * @param settings the addresses and limits
     * @return the client, to be closed by the calling code
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
                        .orElseGet(
                                () -> Either.left(Failure.rejected(step, preferredAddress(), "the lease has ended"))));
    }

    @Override
    public Either<Failure, LeaseGrant> revokeLease(LeaseGrant lease) {
        return write("revoke lease", EtcdRequests.revokeLease(lease.leaseId()), body -> lease);
    }

    @Override
    public Either<Failure, Watch> watch(String prefix, long fromRevision, WatchListener listener) {
        EtcdRequest request = EtcdRequests.watch(prefix, fromRevision);
        Failure failure = null;
        int first = preferredPoolIndex.get();
        for (int i = 0; i < pools.size(); i++) {
            StoreConnectionPool pool = pools.get((first + i) % pools.size());
            try {
                return Either.right(start(EtcdWatch.open(pool.address(), request, settings, listener)));
            } catch (IOException e) {
                failure = Failure.noEffect("open watch", pool.address(), String.valueOf(e.getMessage()));
            }
        }
        preferredPoolIndex.compareAndSet(first, (first + 1) % pools.size());
        return Either.left(failure);
    }

    /** Closes all watches and connections. */
    @Override
    public void close() {
        watches.forEach(Watch::close);
        pools.forEach(StoreConnectionPool::close);
        watchExecutor.shutdownNow();
        deadlineScheduler.shutdownNow();
    }

    private Watch start(EtcdWatch watch) {
        watches.add(watch);
        watchExecutor.execute(() -> {
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
        int first = preferredPoolIndex.get();
        for (int i = 0; i < pools.size(); i++) {
            int index = (first + i) % pools.size();
            result = callWithPool(pools.get(index), step, request, decoder, isWrite);
            if (result.isRight()) {
                preferredPoolIndex.set(index);
                return result;
            }
            if (result.getLeft().kind() != Failure.Kind.NO_EFFECT) {
                break;
            }
        }
        preferredPoolIndex.compareAndSet(first, (first + 1) % pools.size());
        return result;
    }

    private <T> Either<Failure, T> callWithPool(
            StoreConnectionPool pool, String step, EtcdRequest request, Decoder<T> decoder, boolean isWrite) {
        try {
            StoreConnection connection = pool.acquire();
            Either<Failure, T> result = callOnConnection(connection, pool, step, request, decoder, isWrite);
            boolean shouldRetry = !isWrite && connection.isReused() && connection.isBroken();
            return shouldRetry ? callOnConnection(pool.open(), pool, step, request, decoder, false) : result;
        } catch (IOException e) {
            return Either.left(Failure.noEffect(step, pool.address(), "cannot connect: " + e.getMessage()));
        }
    }

    private <T> Either<Failure, T> callOnConnection(
            StoreConnection connection,
            StoreConnectionPool pool,
            String step,
            EtcdRequest request,
            Decoder<T> decoder,
            boolean isWrite) {
        Future<?> abortTask =
                deadlineScheduler.schedule(connection::abort, settings.callTimeoutMillis(), TimeUnit.MILLISECONDS);
        try {
            StoreConnection.StoreResponse response = connection.exchange(request, settings.callTimeoutMillis());
            Either<Failure, T> result = decode(pool, step, response, decoder, isWrite);
            if (abortTask.cancel(false)) {
                pool.release(connection);
            }
            return result;
        } catch (IOException e) {
            abortTask.cancel(false);
            connection.markBroken();
            pool.closeIdle();
            return Either.left(toFailure(isWrite, step, pool.address(), "failed or timed out: " + e.getMessage()));
        }
    }

    private static <T> Either<Failure, T> decode(
            StoreConnectionPool pool,
            String step,
            StoreConnection.StoreResponse response,
            Decoder<T> decoder,
            boolean isWrite)
            throws IOException {
        if (response.status() == HTTP_OK) {
            return Either.right(decoder.decode(response.body()));
        }
        String message = "status " + response.status() + ": " + EtcdResponses.errorMessage(response.body());
        if (response.status() == HTTP_TOO_MANY_REQUESTS) {
            return Either.left(Failure.noEffect(step, pool.address(), message));
        }
        // A server error may be a timeout inside the store, after which the write may still be applied.
        return Either.left(
                response.status() >= FIRST_SERVER_ERROR_STATUS
                        ? toFailure(isWrite, step, pool.address(), message)
                        : Failure.rejected(step, pool.address(), message));
    }

    /**
     * Returns the failure of a call that may have reached the store: a write may have taken effect, a read had none.
     */
    private static Failure toFailure(boolean isWrite, String step, String peer, String message) {
        return isWrite ? Failure.unknownEffect(step, peer, message) : Failure.noEffect(step, peer, message);
    }

    private String preferredAddress() {
        return pools.get(preferredPoolIndex.get()).address();
    }

    /** Decodes the body of a successful response. */
    private interface Decoder<T> {
        T decode(byte[] body) throws IOException;
    }
}
