package org.cactusshift.internal.coordination.store;

import io.vavr.control.Either;
import java.util.Optional;
import org.cactusshift.errors.Failure;

/**
 * The platform's key-value service.
 *
 * <p>Every call blocks until an answer or a timeout. A write whose answer is lost fails with
 * {@link Failure.Kind#UNKNOWN_EFFECT}: the caller must read back before it concludes anything.
 */
public interface KeyValueStore {
    /**
     * Reads one key.
     *
     * @param key the full key
     * @return the value, empty when absent, or the failure
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
     * Writes a key if its last revision is the expected one.
     *
     * @param key the full key
     * @param expectedModRevision the expected revision of the last write; 0 when the key must be absent
     * @param value the new bytes
     * @param lease the lease to attach, or {@link LeaseGrant#NONE}
     * @return whether it was applied, or the failure
     */
    Either<Failure, SwapResult> compareAndSwap(String key, long expectedModRevision, byte[] value, LeaseGrant lease);

    /**
     * Deletes a key if its last revision is the expected one.
     *
     * @param key the full key
     * @param expectedModRevision the expected revision of the last write
     * @return whether it was applied, or the failure
     */
    Either<Failure, SwapResult> compareAndDelete(String key, long expectedModRevision);

    /**
     * Grants a lease.
     *
     * @param ttlMillis the time to live wanted, in milliseconds
     * @return the lease, or the failure
     */
    Either<Failure, LeaseGrant> grantLease(long ttlMillis);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @return the renewed lease, or the failure; {@link Failure.Kind#REJECTED} when the lease has ended
     */
    Either<Failure, LeaseGrant> keepAlive(LeaseGrant lease);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param lease the lease
     * @return the lease that ended, or the failure
     */
    Either<Failure, LeaseGrant> revokeLease(LeaseGrant lease);

    /**
     * Opens a watch on a prefix. Counts as a call for as long as it waits.
     *
     * @param prefix the prefix
     * @param fromRevision the first revision to deliver
     * @param listener receives the events
     * @return the watch, or the failure
     */
    Either<Failure, Watch> watch(String prefix, long fromRevision, WatchListener listener);
}
