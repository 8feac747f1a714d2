package org.cactusshift.internal.coordination.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;

/**
 * The platform's key-value store, as a non-blocking interface.
 *
 * <p>Each call invokes its receiver exactly once, on the thread of the implementation's event loop. A write whose
 * response is lost fails with {@link Failure.Kind#UNKNOWN_EFFECT} and may still take effect later.
 */
public interface AsyncKeyValueStore {
    /**
     * Returns what is known of the era of the store. An answer that belongs to another era than its call relies on is
     * delivered as a failure: {@link Failure.Kind#REJECTED} for {@link #awaitChanges} and {@link #keepAlive}.
     *
     * @return the era
     */
    StoreEra era();

    /**
     * Waits until keys change (long poll).
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the last revision that the caller has seen
     * @param waitMillis the longest time to wait for a change, in milliseconds
     * @param receiver receives the changes, none when no key changed within the wait time;
     *     {@link Failure.Kind#REJECTED} when the history after that revision was compacted
     */
    void awaitChanges(String prefix, long afterRevision, long waitMillis, Consumer<Either<Failure, Changes>> receiver);

    /**
     * Reads all keys with a prefix. Keys that change meanwhile appear in {@link #awaitChanges} after the returned
     * revision.
     *
     * @param prefix the prefix of the keys
     * @param receiver receives the values and the position at which they were read
     */
    void list(String prefix, Consumer<Either<Failure, Listing>> receiver);

    /**
     * Reads one key as it is at some moment during the call, never an older value.
     *
     * @param key the key
     * @param receiver receives the value, empty when the key is absent
     */
    void get(String key, Consumer<Either<Failure, Optional<VersionedValue>>> receiver);

    /**
     * Writes a key if its mod revision is the expected one, and removes other keys, whatever their revisions, in the
     * same transaction.
     *
     * @param write what to write
     * @param receiver receives whether the write was applied; {@link Failure.Kind#REJECTED} when the lease has expired
     */
    void compareAndSwap(Write write, Consumer<Either<Failure, SwapResult>> receiver);

    /**
     * Grants a lease.
     *
     * @param ttlMillis the requested time to live, in milliseconds
     * @param receiver receives the lease
     */
    void grantLease(long ttlMillis, Consumer<Either<Failure, LeaseGrant>> receiver);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param receiver receives the renewed lease; {@link Failure.Kind#REJECTED} when it has expired or was revoked
     */
    void keepAlive(LeaseGrant lease, Consumer<Either<Failure, LeaseGrant>> receiver);

    /**
     * Revokes a lease, which deletes its keys.
     *
     * @param lease the lease
     * @param receiver receives the revoked lease
     */
    void revokeLease(LeaseGrant lease, Consumer<Either<Failure, LeaseGrant>> receiver);

    /**
     * A batch of key changes.
     *
     * @param position the position up to which the changes are complete
     * @param changes the changes, oldest first
     */
    record Changes(StorePosition position, List<KeyChange> changes) {
        /** Copies the list. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * All values with a prefix.
     *
     * @param position the position at which they were read
     * @param values the values
     */
    record Listing(StorePosition position, List<VersionedValue> values) {
        /** Copies the list. */
        public Listing {
            values = List.copyOf(values);
        }
    }

    /**
     * A conditional write.
     *
     * @param key the key
     * @param expectedRevision the expected mod revision; 0 when the key must be absent
     * @param value the new bytes
     * @param lease the lease to attach, or {@link LeaseGrant#NONE}
     * @param removals the keys to remove in the same transaction
     */
    record Write(String key, long expectedRevision, byte[] value, LeaseGrant lease, List<String> removals) {
        /** Copies the list. */
        public Write {
            removals = List.copyOf(removals);
        }
    }
}
