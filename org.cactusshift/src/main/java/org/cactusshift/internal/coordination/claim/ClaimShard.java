package org.cactusshift.internal.coordination.claim;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.DutyId;

/**
 * A claim shard at the node that holds it.
 *
 * <p>Claims that arrive while a write is in flight are batched into the next write. A claim is granted only after the
 * write that contains it is durable under the fencing number of this holder.
 *
 * <p>There are two locks: {@code stateLock} guards the queue and the withdrawn attempts and is never held during a call
 * to the store; {@code commitLock} serializes the calls to the store. The log store and the table are replaced only
 * while both locks are held.
 */
final class ClaimShard {
    private static final System.Logger LOG = System.getLogger(ClaimShard.class.getName());
    private static final int MAXIMUM_WITHDRAWN_ATTEMPTS = 10_000;
    private static final long EXPIRY_PERIOD_MILLIS = 600_000;

    private final ClaimServiceDependencies dependencies;
    private final DutyId duty;
    private final ReentrantLock commitLock = new ReentrantLock();
    private final Object stateLock = new Object();
    private final ClaimQueue queue;
    /**
     * The attempts that were withdrawn last, as keys; a claim that arrives after its withdrawal is refused. Beyond the
     * maximum the oldest is dropped.
     */
    private final Map<String, Boolean> withdrawnAttempts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAXIMUM_WITHDRAWN_ATTEMPTS;
        }
    };

    private long lastExpiryEpochMillis;
    private Optional<ClaimLogStore> logStore = Optional.empty();
    private Optional<ClaimTable> table = Optional.empty();

    ClaimShard(ClaimServiceDependencies dependencies, int shard, int maximumBatchEntries) {
        this.dependencies = dependencies;
        this.duty = DutyId.claim(shard);
        this.queue = ClaimQueue.create(maximumBatchEntries);
    }

    /** Submits a claim. The response completes when the claim is durable or rejected. */
    CompletableFuture<HolderResponse> submit(ClaimKey key, String bodyDigest, String attempt) {
        synchronized (stateLock) {
            if (!isHolder()) {
                return completed(HolderResponse.Kind.NOT_OWNER);
            }
            if (withdrawnAttempts.containsKey(attempt)) {
                return completed(HolderResponse.Kind.UNAVAILABLE);
            }
            long nowEpochMillis = dependencies.wallClockMillis().getAsLong();
            ClaimTable.AddResult result = table.get().addIfFree(key, bodyDigest, attempt, nowEpochMillis);
            switch (result.status()) {
                case ENTERED:
                    return queue.add(ClaimLogEntry.claim(key, attempt, bodyDigest, nowEpochMillis))
                            .response();
                case PENDING:
                    return queue.find(ClaimLogEntry.Kind.CLAIM, key, attempt)
                            .map(PendingEntry::response)
                            .orElse(completed(HolderResponse.Kind.UNAVAILABLE));
                case DONE:
                    return CompletableFuture.completedFuture(HolderResponse.repeated(result.outcome()));
                default:
                    return completed(kindOf(result.status()));
            }
        }
    }

    private static HolderResponse.Kind kindOf(ClaimTable.KeyStatus status) {
        return switch (status) {
            case GRANTED -> HolderResponse.Kind.GRANTED;
            case OPEN -> HolderResponse.Kind.OPEN;
            case BODY_MISMATCH -> HolderResponse.Kind.BODY_MISMATCH;
            default -> HolderResponse.Kind.UNAVAILABLE;
        };
    }

    /**
     * Records the outcome of a call. The response is GRANTED when the outcome is durable or no matching claim exists.
     */
    CompletableFuture<HolderResponse> recordOutcome(ClaimKey key, String attempt, CallOutcome outcome) {
        synchronized (stateLock) {
            if (!isHolder()) {
                return completed(HolderResponse.Kind.NOT_OWNER);
            }
            if (table.get().recordOutcome(key, attempt, outcome)) {
                return queue.add(ClaimLogEntry.outcome(key, attempt, outcome)).response();
            }
            return queue.find(ClaimLogEntry.Kind.OUTCOME, key, attempt)
                    .map(PendingEntry::response)
                    .orElse(completed(HolderResponse.Kind.GRANTED));
        }
    }

    /**
     * Withdraws a claim whose call was not sent. The response is GRANTED when the withdrawal is durable or nothing is
     * left to withdraw, and UNAVAILABLE while the claim is in doubt.
     */
    CompletableFuture<HolderResponse> withdraw(ClaimKey key, String attempt) {
        synchronized (stateLock) {
            if (!isHolder()) {
                return completed(HolderResponse.Kind.NOT_OWNER);
            }
            withdrawnAttempts.put(attempt, true);
            Optional<ClaimTable.Phase> phase = table.get().withdraw(key, attempt);
            queue.find(ClaimLogEntry.Kind.CLAIM, key, attempt)
                    .ifPresent(claim -> claim.response().complete(HolderResponse.of(HolderResponse.Kind.UNAVAILABLE)));
            switch (queue.withdrawClaim(key, attempt)) {
                case UNWRITTEN:
                    table.get().remove(key, attempt);
                    return completed(HolderResponse.Kind.GRANTED);
                case IN_DOUBT:
                    return completed(HolderResponse.Kind.UNAVAILABLE);
                default:
                    return withdrawWritten(key, attempt, phase);
            }
        }
    }

    private CompletableFuture<HolderResponse> withdrawWritten(
            ClaimKey key, String attempt, Optional<ClaimTable.Phase> phase) {
        boolean withdrawable = phase.isPresent() && phase.get() != ClaimTable.Phase.DONE;
        if (!withdrawable) {
            return completed(HolderResponse.Kind.GRANTED);
        }
        return queue.add(ClaimLogEntry.withdrawal(key, attempt)).response();
    }

    private static CompletableFuture<HolderResponse> completed(HolderResponse.Kind kind) {
        return CompletableFuture.completedFuture(HolderResponse.of(kind));
    }

    boolean needsWrite() {
        synchronized (stateLock) {
            return queue.needsWrite();
        }
    }

    /**
     * Loads the shard when this node has acquired it, again when its fencing number has changed since, and writes a
     * batch of the waiting entries in one write. Does nothing while another thread commits.
     */
    void commit() {
        if (!commitLock.tryLock()) {
            return;
        }
        try {
            openOrReopen();
            if (logStore.isPresent() && needsWrite()) {
                write();
            }
            expire();
        } finally {
            commitLock.unlock();
        }
    }

    private void expire() {
        long nowEpochMillis = dependencies.wallClockMillis().getAsLong();
        if (nowEpochMillis - lastExpiryEpochMillis < EXPIRY_PERIOD_MILLIS) {
            return;
        }
        lastExpiryEpochMillis = nowEpochMillis;
        table.ifPresent(present -> present.expire(nowEpochMillis - ClaimLogStore.RETENTION_MILLIS));
    }

    private Optional<Authority> authority() {
        return dependencies
                .authorities()
                .authority(duty, dependencies.clockMillis().getAsLong());
    }

    private boolean isHolder() {
        return logStore.filter(ClaimLogStore::isHeld).isPresent();
    }

    private void openOrReopen() {
        Optional<Authority> authority = authority();
        boolean changed = logStore.isPresent()
                && authority.isPresent()
                && authority.get().fencingNumber() != logStore.get().fencingNumber();
        if (changed) {
            close();
        }
        if (authority.isEmpty() || logStore.isPresent()) {
            return;
        }
        Either<Failure, ClaimLogStore> opened = ClaimLogStore.open(dependencies, duty, authority.get());
        Either<Failure, ClaimTable> loaded = opened.flatMap(ClaimLogStore::load);
        if (loaded.isLeft()) {
            LOG.log(System.Logger.Level.WARNING, loaded.getLeft()::toString);
            return;
        }
        synchronized (stateLock) {
            logStore = Optional.of(opened.get());
            table = Optional.of(loaded.get());
        }
    }

    /**
     * Drops the state of the shard. Entries in doubt are resolved by the log that the next holder loads and by the next
     * claim of the same attempt.
     */
    private void close() {
        List<PendingEntry> abandoned;
        synchronized (stateLock) {
            logStore = Optional.empty();
            table = Optional.empty();
            abandoned = queue.drain();
        }
        abandoned.forEach(pending -> pending.response().complete(HolderResponse.of(HolderResponse.Kind.NOT_OWNER)));
    }

    private void write() {
        ClaimQueue.Batch batch;
        synchronized (stateLock) {
            if (!isHolder()) {
                return;
            }
            batch = queue.takeBatch();
        }
        boolean isLogFull = !logStore.get().isBelowSegmentLimit()
                && batch.unwritten().stream().anyMatch(PendingEntry::isClaim);
        Either<Failure, Long> written = isLogFull
                ? Either.left(Failure.throttled(
                        "claim",
                        duty.toString(),
                        "the claim log is full; new claims are refused until its oldest segment expires"))
                : logStore.get()
                        .append(batch.all().stream().map(PendingEntry::entry).toList());
        if (written.isLeft()) {
            LOG.log(System.Logger.Level.WARNING, written.getLeft()::toString);
            onFailed(batch, written.getLeft());
            return;
        }
        synchronized (stateLock) {
            queue.onDurable().forEach(this::removeFromTable);
            batch.all().forEach(this::onDurable);
        }
        batch.all().forEach(pending -> pending.response().complete(HolderResponse.of(HolderResponse.Kind.GRANTED)));
    }

    private void onDurable(PendingEntry pending) {
        if (pending.isClaim()) {
            table.get().confirm(pending.key(), pending.entry().attempt());
        } else if (pending.entry().kind() == ClaimLogEntry.Kind.RELEASE) {
            removeFromTable(pending);
        }
    }

    private void removeFromTable(PendingEntry pending) {
        table.get().remove(pending.key(), pending.entry().attempt());
    }

    private void onFailed(ClaimQueue.Batch batch, Failure failure) {
        List<PendingEntry> refused = List.of();
        synchronized (stateLock) {
            switch (failure.kind()) {
                case REJECTED:
                    // The shard is closed below, because responses are not completed under the lock.
                    break;
                case UNKNOWN_EFFECT:
                    queue.onUnknownEffect(batch);
                    break;
                default:
                    refused = queue.onNoEffect(batch);
                    refused.forEach(this::removeFromTable);
                    break;
            }
        }
        refused.forEach(pending -> pending.response().complete(HolderResponse.of(HolderResponse.Kind.UNAVAILABLE)));
        if (failure.kind() == Failure.Kind.REJECTED) {
            close();
        }
    }
}
