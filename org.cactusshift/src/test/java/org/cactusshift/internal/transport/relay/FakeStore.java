package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * A store that responds at once and applies every write unconditionally. Only {@link #awaitChanges} reports writes, and
 * leases never expire.
 */
final class FakeStore implements AsyncKeyValueStore {
    final Map<String, VersionedValue> values = new HashMap<>();
    private long revision = 10;

    /** The number of reads of changes. */
    volatile int reads;

    @Override
    public void awaitChanges(String prefix, long after, long waitMillis, Consumer<Either<Failure, Changes>> receiver) {
        reads++;
        List<KeyChange> changes = new ArrayList<>();
        for (VersionedValue value : values.values()) {
            if (value.modRevision() > after) {
                changes.add(new KeyChange(value.key(), Optional.of(value), value.modRevision()));
            }
        }
        receiver.accept(Either.right(new Changes(revision, changes)));
    }

    @Override
    public void list(String prefix, Consumer<Either<Failure, RangeResult>> receiver) {
        VersionedValue config = new VersionedValue("config", new byte[0], 1, 1);
        receiver.accept(Either.right(new RangeResult(revision, List.of(config))));
    }

    @Override
    public void get(String key, Consumer<Either<Failure, Optional<VersionedValue>>> receiver) {
        receiver.accept(Either.right(Optional.ofNullable(values.get(key))));
    }

    @Override
    public void compareAndSwap(Write write, Consumer<Either<Failure, SwapResult>> receiver) {
        revision++;
        values.put(write.key(), new VersionedValue(write.key(), write.value(), revision, revision));
        receiver.accept(Either.right(SwapResult.applied(revision)));
    }

    @Override
    public void grantLease(long ttlMillis, Consumer<Either<Failure, LeaseGrant>> receiver) {
        receiver.accept(Either.right(new LeaseGrant(7, ttlMillis)));
    }

    @Override
    public void keepAlive(LeaseGrant lease, Consumer<Either<Failure, LeaseGrant>> receiver) {
        receiver.accept(Either.right(lease));
    }

    @Override
    public void revokeLease(LeaseGrant lease, Consumer<Either<Failure, LeaseGrant>> receiver) {
        receiver.accept(Either.right(lease));
    }
}
