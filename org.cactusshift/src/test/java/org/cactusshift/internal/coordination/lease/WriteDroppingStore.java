package org.cactusshift.internal.coordination.lease;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.cactusshift.internal.coordination.store.Watch;
import org.cactusshift.internal.coordination.store.WatchListener;

/** A store that acknowledges one in four compare-and-swap calls, chosen at random, without writing the value. */
public final class WriteDroppingStore implements KeyValueStore {
    private final KeyValueStore store;
    private final Supplier<Random> random;

    public WriteDroppingStore(KeyValueStore store, Supplier<Random> random) {
        this.store = store;
        this.random = random;
    }

    @Override
    public Either<Failure, SwapResult> compareAndSwap(
            String key, long expectedModRevision, byte[] value, LeaseGrant lease) {
        if (random.get().nextInt(4) == 0) {
            return Either.right(SwapResult.applied(expectedModRevision));
        }
        return store.compareAndSwap(key, expectedModRevision, value, lease);
    }

    @Override
    public Either<Failure, Optional<VersionedValue>> get(String key) {
        return store.get(key);
    }

    @Override
    public Either<Failure, RangeResult> list(String prefix) {
        return store.list(prefix);
    }

    @Override
    public Either<Failure, SwapResult> compareAndDelete(String key, long expectedModRevision) {
        return store.compareAndDelete(key, expectedModRevision);
    }

    @Override
    public Either<Failure, LeaseGrant> grantLease(long ttlMillis) {
        return store.grantLease(ttlMillis);
    }

    @Override
    public Either<Failure, LeaseGrant> keepAlive(LeaseGrant lease) {
        return store.keepAlive(lease);
    }

    @Override
    public Either<Failure, LeaseGrant> revokeLease(LeaseGrant lease) {
        return store.revokeLease(lease);
    }

    @Override
    public Either<Failure, Watch> watch(String prefix, long fromRevision, WatchListener listener) {
        return store.watch(prefix, fromRevision, listener);
    }
}
