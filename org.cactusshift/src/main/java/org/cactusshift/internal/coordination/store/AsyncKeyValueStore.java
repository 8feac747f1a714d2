package org.cactusshift.internal.coordination.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;

/**
 * The platform's key-value service for callers that must not block.
 *
 * <p>Each call answers its receiver once, on the thread that drives the implementation. A write whose answer is lost
 * fails with {@link Failure.Kind#UNKNOWN_EFFECT} and may take effect later.
 */
public interface AsyncKeyValueStore {
    /**
     * Waits for changes.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the last revision that is known
     * @param waitMillis how long to wait for a change
     * @param receiver receives the changes; {@link Failure.Kind#REJECTED} when the store has dropped that history
     */
    void awaitChanges(String prefix, long afterRevision, long waitMillis, Consumer<Either<Failure, Changes>> receiver);

    /**
     * Reads all keys with a prefix. Keys that change meanwhile show in {@link #awaitChanges} after the returned
     * revision.
     *
     * @param prefix the prefix of the keys
     * @param receiver receives the values
     */
    void list(String prefix, Consumer<Either<Failure, RangeResult>> receiver);

    /**
     * Writes a key if its last revision is the expected one, and removes others with it.
     *
     * @param write what to write
     * @param receiver receives whether it was applied; {@link Failure.Kind#REJECTED} when the lease has ended
     */
    void compareAndSwap(Write write, Consumer<Either<Failure, SwapResult>> receiver);

    /**
     * Grants a lease.
     *
     * @param ttlMillis the time to live wanted
     * @param receiver receives the lease
     */
    void grantLease(long ttlMillis, Consumer<Either<Failure, LeaseGrant>> receiver);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param receiver receives the lease; {@link Failure.Kind#REJECTED} when it has ended
     */
    void keepAlive(LeaseGrant lease, Consumer<Either<Failure, LeaseGrant>> receiver);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param lease the lease
     * @param receiver receives the lease that ended
     */
    void revokeLease(LeaseGrant lease, Consumer<Either<Failure, LeaseGrant>> receiver);

    /**
     * Changes of keys.
     *
     * @param revision the revision up to which they are complete
     * @param changes the changes, oldest first
     */
    record Changes(long revision, List<KeyChange> changes) {
        /** Copies the list. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * A conditional write.
     *
     * @param key the key
     * @param expectedRevision the expected revision of its last write, 0 when it must be absent
     * @param value the new bytes
     * @param lease the lease to attach, or {@link LeaseGrant#NONE}
     * @param removals keys to remove with it
     */
    record Write(String key, long expectedRevision, byte[] value, LeaseGrant lease, List<String> removals) {
        /** Copies the list. */
        public Write {
            removals = List.copyOf(removals);
        }
    }
}
