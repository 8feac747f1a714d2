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
import org.cactusshift.internal.coordination.store.StoreEra;
import org.cactusshift.internal.coordination.store.StorePosition;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * A store that responds at once and applies every write unconditionally. Leases never expire.
 */
final class FakeStore implements AsyncKeyValueStore {
    final Map<String, VersionedValue> values = new HashMap<>();
    private long revision = 10;
    private final StoreEra era = StoreEra.create();

    /** The number of reads of changes. */
    volatile int reads;

    /** Runs before the answer to a read of all keys. */
    Runnable beforeList = () -> {};

    /** Whether reads of changes time out. */
    volatile boolean changesTimeOut;

    /** The number of reads of all keys. */
    volatile int lists;

    FakeStore() {
        state(1, 1);
    }

    /** Comes back without the keys, as of a copy at a revision; all calls from now on are answered in the next era. */
    void restore(long copyRevision) {
        values.clear();
        revision = copyRevision;
        state(era.current() + 1, era.current());
    }

    private void state(long statedEra, long sentEra) {
        era.onAnswer(Optional.of(Long.toString(statedEra)), sentEra, StoreEra.Use.ANY_NEWER_ERA);
    }

    private StorePosition position() {
        return new StorePosition(era.current(), revision);
    }

    @Override
    public StoreEra era() {
        return era;
    }

    @Override
    public void awaitChanges(String prefix, long after, long waitMillis, Consumer<Either<Failure, Changes>> receiver) {
        reads++;
        if (changesTimeOut) {
            receiver.accept(Either.left(Failure.unknownEffect("watch", "store", "response timed out")));
            return;
        }
        List<KeyChange> changes = new ArrayList<>();
        for (VersionedValue value : values.values()) {
            if (value.modRevision() > after) {
                changes.add(new KeyChange(value.key(), Optional.of(value), value.modRevision()));
            }
        }
        receiver.accept(Either.right(new Changes(position(), changes)));
    }

    @Override
    public void list(String prefix, Consumer<Either<Failure, Listing>> receiver) {
        lists++;
        beforeList.run();
        List<VersionedValue> listed = new ArrayList<>(values.values());
        listed.add(new VersionedValue("config", new byte[0], 1, 1));
        receiver.accept(Either.right(new Listing(position(), listed)));
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
