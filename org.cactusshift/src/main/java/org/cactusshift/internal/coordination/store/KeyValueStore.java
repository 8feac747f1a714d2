package org.cactusshift.internal.coordination.store;

import io.vavr.control.Either;
import java.util.Optional;
import org.cactusshift.errors.Failure;

/**
 * The platform's key-value store, as a blocking interface.
 *
 * <p>Every call blocks until a response or a timeout. A write whose response is lost fails with
 * {@link Failure.Kind#UNKNOWN_EFFECT}: only reading the key back shows whether it took effect.
 */
public interface KeyValueStore {
    /**
     * Reads one key.
     *
     * @param key the full key
     * @return the value, empty when the key is absent, or the failure
     */
    Either<Failure, Optional<VersionedValue>> get(String key);

    /**
     * Reads all keys with a prefix at one revision.
     *
     * @param prefix the prefix
     * @return the values, or the failure
     */
    Either<Failure, RangeResult> list(String prefix);

    /**
     * Writes a key if its mod revision is the expected one.
     *
     * @param key the full key
     * @param expectedModRevision the expected mod revision; 0 when the key must be absent
     * @param value the new bytes
     * @param lease the lease to attach, or {@link LeaseGrant#NONE}
     * @return whether the change was applied, or the failure
     */
    Either<Failure, SwapResult> compareAndSwap(String key, long expectedModRevision, byte[] value, LeaseGrant lease);

    /**
     * Deletes a key if its mod revision is the expected one.
     *
     * @param key the full key
     * @param expectedModRevision the expected mod revision; with 0, the deletion of an absent key counts as applied and
     *     changes nothing
     * @return whether the change was applied, or the failure
     */
    Either<Failure, SwapResult> compareAndDelete(String key, long expectedModRevision);

    /**
     * Grants a lease.
     *
     * @param ttlMillis the requested time to live, in milliseconds
     * @return the lease, or the failure
     */
    Either<Failure, LeaseGrant> grantLease(long ttlMillis);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @return the renewed lease, or the failure; {@link Failure.Kind#REJECTED} when the lease has expired or
     *     was revoked
     */
    Either<Failure, LeaseGrant> keepAlive(LeaseGrant lease);

    /**
     * Revokes a lease, which deletes its keys.
     *
     * @param lease the lease
     * @return the revoked lease, or the failure
     */
    Either<Failure, LeaseGrant> revokeLease(LeaseGrant lease);

    /**
     * Opens a watch on a prefix. The store counts an open watch as a call for as long as it waits.
     *
     * @param prefix the prefix
     * @param fromRevision the first revision to deliver; the watch ends when that history was compacted
     * @param listener receives the events
     * @return the watch, or the failure
     */
    Either<Failure, Watch> watch(String prefix, long fromRevision, WatchListener listener);
}
