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
 * One claim shard at the node that owns it.
 *
 * <p>Claims that arrive while a write is in flight wait and go into the next write together. A claim is granted only
 * after the write that holds it is durable under this owner's fencing number.
 *
 * <p>Two locks: {@code lock} guards the queue and is held for moments; {@code commitLock} keeps the calls to the store
 * one at a time.
 */
final class ClaimShard {
    private static final System.Logger LOG = System.getLogger(ClaimShard.class.getName());
    private static final int REMEMBERED_WITHDRAWALS = 10_000;
    private static final long EXPIRY_PERIOD_MILLIS = 600_000;

    private final ClaimServiceDependencies setup;
    private final DutyId duty;
    private final ReentrantLock commitLock = new ReentrantLock();
    private final Object lock = new Object();
    private final ClaimQueue queue;
    private final Map<String, Boolean> withdrawnAttempts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED_WITHDRAWALS;
        }
    };
    private long expiredAtEpochMillis;
    private Optional<ClaimLogStore> store = Optional.empty();
    private Optional<ClaimTable> table = Optional.empty();

    ClaimShard(ClaimServiceDependencies setup, int shard, int maximumBatchLines) {
        this.setup = setup;
        this.duty = DutyId.claim(shard);
        this.queue = ClaimQueue.create(maximumBatchLines);
    }

    /** Takes a claim; the answer comes when it is durable or refused. */
    CompletableFuture<OwnerResponse> submit(ClaimKey key, String bodyDigest, String attempt) {
        synchronized (lock) {
            if (!isOwner()) {
                return answered(OwnerResponse.Kind.NOT_OWNER);
            }
            if (withdrawnAttempts.containsKey(attempt)) {
                return answered(OwnerResponse.Kind.UNAVAILABLE);
            }
            long nowEpochMillis = setup.wallClockMillis().getAsLong();
            ClaimTable.BeginResult answer = table.get().begin(key, bodyDigest, attempt, nowEpochMillis);
            switch (answer.status()) {
                case ENTERED:
                    return queue.add(ClaimLogEntry.claim(key, attempt, bodyDigest, nowEpochMillis))
                            .response();
                case PENDING:
                    return queue.find(ClaimLogEntry.Kind.CLAIM, key, attempt)
                            .map(PendingEntry::response)
                            .orElse(answered(OwnerResponse.Kind.UNAVAILABLE));
                case DONE:
                    return CompletableFuture.completedFuture(OwnerResponse.repeated(answer.outcome()));
                default:
                    return answered(kindOf(answer.status()));
            }
        }
    }

    private static OwnerResponse.Kind kindOf(ClaimTable.KeyStatus finding) {
        return switch (finding) {
            case GRANTED -> OwnerResponse.Kind.GRANTED;
            case OPEN -> OwnerResponse.Kind.OPEN;
            case BODY_MISMATCH -> OwnerResponse.Kind.BODY_MISMATCH;
            default -> OwnerResponse.Kind.UNAVAILABLE;
        };
    }

    /** Takes the outcome of a call; true when it is durable, or has no claim that it could belong to. */
    CompletableFuture<OwnerResponse> record(ClaimKey key, String attempt, CallOutcome outcome) {
        synchronized (lock) {
            if (!isOwner()) {
                return answered(OwnerResponse.Kind.NOT_OWNER);
            }
            if (table.get().record(key, attempt, outcome)) {
                return queue.add(ClaimLogEntry.outcome(key, attempt, outcome)).response();
            }
            return queue.find(ClaimLogEntry.Kind.OUTCOME, key, attempt)
                    .map(PendingEntry::response)
                    .orElse(answered(OwnerResponse.Kind.GRANTED));
        }
    }

    /** Takes back a claim whose call was not sent; answered when that is durable. */
    CompletableFuture<OwnerResponse> withdraw(ClaimKey key, String attempt) {
        synchronized (lock) {
            if (!isOwner()) {
                return answered(OwnerResponse.Kind.NOT_OWNER);
            }
            withdrawnAttempts.put(attempt, true);
            Optional<ClaimTable.Phase> phase = table.get().withdraw(key, attempt);
            queue.find(ClaimLogEntry.Kind.CLAIM, key, attempt)
                    .ifPresent(claim -> claim.response().complete(OwnerResponse.of(OwnerResponse.Kind.UNAVAILABLE)));
            switch (queue.withdrawClaim(key, attempt)) {
                case UNWRITTEN:
                    table.get().remove(key, attempt);
                    return answered(OwnerResponse.Kind.GRANTED);
                case IN_DOUBT:
                    return answered(OwnerResponse.Kind.UNAVAILABLE);
                default:
                    return withdrawWritten(key, attempt, phase);
            }
        }
    }

    private CompletableFuture<OwnerResponse> withdrawWritten(
            ClaimKey key, String attempt, Optional<ClaimTable.Phase> phase) {
        boolean withdrawable = phase.isPresent() && phase.get() != ClaimTable.Phase.DONE;
        if (!withdrawable) {
            return answered(OwnerResponse.Kind.GRANTED);
        }
        return queue.add(ClaimLogEntry.release(key, attempt)).response();
    }

    private static CompletableFuture<OwnerResponse> answered(OwnerResponse.Kind kind) {
        return CompletableFuture.completedFuture(OwnerResponse.of(kind));
    }

    boolean hasWork() {
        synchronized (lock) {
            return queue.hasWork();
        }
    }

    /** Takes the shard over or gives it up, and writes what waits in one write. */
    void commit() {
        if (!commitLock.tryLock()) {
            return;
        }
        try {
            openOrClose();
            if (store.isPresent() && hasWork()) {
                write();
            }
            expire();
        } finally {
            commitLock.unlock();
        }
    }

    private void expire() {
        long nowEpochMillis = setup.wallClockMillis().getAsLong();
        if (nowEpochMillis - expiredAtEpochMillis < EXPIRY_PERIOD_MILLIS) {
            return;
        }
        expiredAtEpochMillis = nowEpochMillis;
        table.ifPresent(present -> present.expire(nowEpochMillis - ClaimLogStore.RETENTION_MILLIS));
    }

    private Optional<Authority> authority() {
        return setup.authorities().authority(duty, setup.clockMillis().getAsLong());
    }

    private boolean isOwner() {
        return store.filter(ClaimLogStore::isHeld).isPresent();
    }

    private void openOrClose() {
        Optional<Authority> authority = authority();
        boolean changed = store.isPresent()
                && authority.isPresent()
                && authority.get().fencingNumber() != store.get().fencingNumber();
        if (changed) {
            close();
        }
        if (authority.isEmpty() || store.isPresent()) {
            return;
        }
        Either<Failure, ClaimLogStore> opened = ClaimLogStore.open(setup, duty, authority.get());
        Either<Failure, ClaimTable> loaded = opened.flatMap(ClaimLogStore::load);
        if (loaded.isLeft()) {
            LOG.log(System.Logger.Level.WARNING, loaded.getLeft()::toString);
            return;
        }
        synchronized (lock) {
            store = Optional.of(opened.get());
            table = Optional.of(loaded.get());
        }
    }

    /** Gives the shard up; what is in doubt is settled by the next owner's log and the same attempt's next claim. */
    private void close() {
        List<PendingEntry> left;
        synchronized (lock) {
            store = Optional.empty();
            table = Optional.empty();
            left = queue.drain();
        }
        left.forEach(pending -> pending.response().complete(OwnerResponse.of(OwnerResponse.Kind.NOT_OWNER)));
    }

    private void write() {
        ClaimQueue.Batch batch;
        synchronized (lock) {
            if (!isOwner()) {
                return;
            }
            batch = queue.takeBatch();
        }
        boolean full = !store.get().hasRoom() && batch.fresh().stream().anyMatch(PendingEntry::isClaim);
        Either<Failure, Long> written = full
                ? Either.left(Failure.throttled("claim", duty.toString(), "the log is full until old claims expire"))
                : store.get()
                        .append(batch.all().stream().map(PendingEntry::entry).toList());
        if (written.isLeft()) {
            LOG.log(System.Logger.Level.WARNING, written.getLeft()::toString);
            onFailed(batch, written.getLeft());
            return;
        }
        synchronized (lock) {
            queue.onDurable().forEach(this::forget);
            batch.all().forEach(this::onDurable);
        }
        batch.all().forEach(pending -> pending.response().complete(OwnerResponse.of(OwnerResponse.Kind.GRANTED)));
    }

    private void onDurable(PendingEntry pending) {
        if (pending.isClaim()) {
            table.get().confirm(pending.key(), pending.entry().attempt());
        } else if (pending.entry().kind() == ClaimLogEntry.Kind.RELEASE) {
            forget(pending);
        }
    }

    private void forget(PendingEntry pending) {
        table.get().remove(pending.key(), pending.entry().attempt());
    }

    private void onFailed(ClaimQueue.Batch batch, Failure failure) {
        List<PendingEntry> refused = List.of();
        synchronized (lock) {
            switch (failure.kind()) {
                case REJECTED:
                    break;
                case UNKNOWN_EFFECT:
                    queue.onUnknownEffect(batch);
                    break;
                default:
                    refused = queue.onNoEffect(batch);
                    refused.forEach(this::forget);
                    break;
            }
        }
        refused.forEach(pending -> pending.response().complete(OwnerResponse.of(OwnerResponse.Kind.UNAVAILABLE)));
        if (failure.kind() == Failure.Kind.REJECTED) {
            close();
        }
    }
}
