package org.cactusshift.internal.coordination.store;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cactusshift.errors.Failure;

/**
 * The state machine of a key-value store with revisions, leases and a history of changes.
 *
 * <p>Follows the semantics of etcd v3: a single revision counter, a comparison of mod revisions in which an absent key
 * has revision 0, and leases whose keys are deleted when the lease ends. The current time is an argument. Not
 * thread-safe; the owner must hold a lock.
 */
public final class KeyValueState {
    private static final String PEER = "local";

    private final TreeMap<String, Stored> values = new TreeMap<>();

    private final Map<Long, Lease> leases = new HashMap<>();

    private final Deque<KeyChange> history = new ArrayDeque<>();

    private final int historyLimit;

    private long revision = 1;

    /** The newest revision of which a change was dropped from the history; 0 when none was. */
    private long lastCompactedRevision;

    private long nextLeaseId = 1;

    private KeyValueState(int historyLimit) {
        this.historyLimit = historyLimit;
    }

    /**
     * Creates an empty state.
     *
     * @param historyLimit the number of changes to retain for watches
     * @return the state, at revision 1
     */
    public static KeyValueState create(int historyLimit) {
        if (historyLimit < 1) {
            throw new IllegalArgumentException("history limit is below 1");
        }
        return new KeyValueState(historyLimit);
    }

    /**
     * Returns the revision of the last write.
     *
     * @return the revision, 1 before any write
     */
    public long revision() {
        return revision;
    }

    /**
     * Reads one key.
     *
     * @param key the full key
     * @return the value; empty when the key is absent
     */
    public Optional<VersionedValue> get(String key) {
        return Optional.ofNullable(values.get(key)).map(Stored::value);
    }

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @return the values, sorted by key
     */
    public RangeResult list(String prefix) {
        List<VersionedValue> found = new ArrayList<>();
        for (Stored stored : values.tailMap(prefix).values()) {
            if (!stored.value().key().startsWith(prefix)) {
                break;
            }
            found.add(stored.value());
        }
        return new RangeResult(revision, found);
    }

    /**
     * Writes a key if its mod revision is the expected one.
     *
     * @param key the full key
     * @param expectedModRevision the expected mod revision; 0 when the key must be absent
     * @param value the new bytes
     * @param leaseId the lease to attach; 0 for none
     * @return whether the write was applied, or a rejection when the lease does not exist
     */
    public Either<Failure, SwapResult> compareAndSwap(
            String key, long expectedModRevision, byte[] value, long leaseId) {
        if (modRevision(key) != expectedModRevision) {
            return Either.right(SwapResult.conflict(revision, get(key)));
        }
        if (leaseId != 0 && !leases.containsKey(leaseId)) {
            return Either.left(leaseNotFound("write key", leaseId));
        }
        long createRevision = get(key).map(VersionedValue::createRevision).orElse(revision + 1);
        revision++;
        detachFromLease(key);
        VersionedValue written = new VersionedValue(key, value.clone(), createRevision, revision);
        values.put(key, new Stored(written, leaseId));
        if (leaseId != 0) {
            leases.get(leaseId).keys.add(key);
        }
        appendToHistory(new KeyChange(key, Optional.of(written), revision));
        return Either.right(SwapResult.applied(revision));
    }

    /**
     * Deletes a key if its mod revision is the expected one.
     *
     * <p>Deleting an absent key with the expected revision 0 counts as applied and changes nothing.
     *
     * @param key the full key
     * @param expectedModRevision the expected mod revision
     * @return whether the deletion was applied
     */
    public SwapResult compareAndDelete(String key, long expectedModRevision) {
        if (modRevision(key) != expectedModRevision) {
            return SwapResult.conflict(revision, get(key));
        }
        if (values.containsKey(key)) {
            revision++;
            delete(key);
        }
        return SwapResult.applied(revision);
    }

    /**
     * Grants a lease.
     *
     * @param ttlMillis the time to live, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the lease
     */
    public LeaseGrant grantLease(long ttlMillis, long nowMillis) {
        if (ttlMillis < 1) {
            throw new IllegalArgumentException("time to live is below 1 ms");
        }
        long leaseId = nextLeaseId++;
        leases.put(leaseId, new Lease(ttlMillis, nowMillis + ttlMillis));
        return new LeaseGrant(leaseId, ttlMillis);
    }

    /**
     * Renews a lease.
     *
     * @param leaseId the lease
     * @param nowMillis the current time, in milliseconds
     * @return the renewed lease, or a rejection when it does not exist or has expired
     */
    public Either<Failure, LeaseGrant> keepAlive(long leaseId, long nowMillis) {
        Lease lease = leases.get(leaseId);
        if (lease == null || lease.expiresAtMillis <= nowMillis) {
            return Either.left(leaseNotFound("renew lease", leaseId));
        }
        lease.expiresAtMillis = nowMillis + lease.ttlMillis;
        return Either.right(new LeaseGrant(leaseId, lease.ttlMillis));
    }

    /**
     * Revokes a lease and deletes its keys at one revision.
     *
     * @param leaseId the lease
     * @return the revoked lease, or a rejection when it does not exist
     */
    public Either<Failure, LeaseGrant> revokeLease(long leaseId) {
        Lease lease = leases.remove(leaseId);
        if (lease == null) {
            return Either.left(leaseNotFound("revoke lease", leaseId));
        }
        if (!lease.keys.isEmpty()) {
            revision++;
            List.copyOf(lease.keys).forEach(this::delete);
        }
        return Either.right(new LeaseGrant(leaseId, lease.ttlMillis));
    }

    /**
     * Expires every lease whose time to live has passed.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the number of expired leases
     */
    public int expireLeases(long nowMillis) {
        List<Long> expired = new ArrayList<>();
        leases.forEach((leaseId, lease) -> {
            if (lease.expiresAtMillis <= nowMillis) {
                expired.add(leaseId);
            }
        });
        expired.stream().sorted().forEach(this::revokeLease);
        return expired.size();
    }

    /**
     * Resets the expiry of every lease to its full time to live from now, as a store does after an outage of its own.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void resetLeaseExpiries(long nowMillis) {
        leases.values().forEach(lease -> lease.expiresAtMillis = nowMillis + lease.ttlMillis);
    }

    /**
     * Returns the changes of the keys with a prefix, starting at a revision.
     *
     * @param prefix the prefix
     * @param fromRevision the first revision to return
     * @return the changes in the order of their revisions, or a rejection when part of that history was compacted
     */
    public Either<Failure, List<KeyChange>> changes(String prefix, long fromRevision) {
        if (fromRevision <= lastCompactedRevision) {
            return Either.left(Failure.rejected(
                    "read history",
                    PEER,
                    "revision " + fromRevision + " is not available: history up to " + lastCompactedRevision
                            + " was compacted"));
        }
        return Either.right(history.stream()
                .filter(change ->
                        change.revision() >= fromRevision && change.key().startsWith(prefix))
                .toList());
    }

    private long modRevision(String key) {
        return get(key).map(VersionedValue::modRevision).orElse(0L);
    }

    private void delete(String key) {
        detachFromLease(key);
        values.remove(key);
        appendToHistory(new KeyChange(key, Optional.empty(), revision));
    }

    private void detachFromLease(String key) {
        Stored stored = values.get(key);
        if (stored != null && leases.containsKey(stored.leaseId())) {
            leases.get(stored.leaseId()).keys.remove(key);
        }
    }

    private void appendToHistory(KeyChange change) {
        history.addLast(change);
        while (history.size() > historyLimit) {
            lastCompactedRevision = history.removeFirst().revision();
        }
    }

    private static Failure leaseNotFound(String step, long leaseId) {
        return Failure.rejected(step, PEER, "lease " + leaseId + " not found");
    }

    private record Stored(VersionedValue value, long leaseId) {}

    private static final class Lease {
        private final long ttlMillis;

        private final Set<String> keys = new TreeSet<>();

        private long expiresAtMillis;

        Lease(long ttlMillis, long expiresAtMillis) {
            this.ttlMillis = ttlMillis;
            this.expiresAtMillis = expiresAtMillis;
        }
    }
}
