package org.cactusshift.internal.coordination.usage;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.FencedRecord;
import org.cactusshift.messages.Sender;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;

/**
 * One usage shard at one node: the node's own counts, and the usage windows while the node holds the shard.
 *
 * <p>Three locks: the ledger's monitor, held only briefly because requests add to the ledger; {@code lock} for the
 * windows, held while they are encoded; {@code cycleLock}, which serializes the calls to the store, the holder and the
 * usage interface. The fields {@code record} and {@code windows} are set under both of the latter, so that each of the
 * two suffices to read them.
 */
final class UsageShard {
    private static final System.Logger LOG = System.getLogger(UsageShard.class.getName());

    private final UsageServiceDependencies dependencies;
    private final DutyId duty;
    private final int shard;
    private final UsageCounters counters;
    private final ReentrantLock cycleLock = new ReentrantLock();
    private final Object lock = new Object();
    private final UsageLedger ledger;
    private Optional<FencedRecord> record = Optional.empty();
    private Optional<UsageWindows> windows = Optional.empty();

    UsageShard(UsageServiceDependencies dependencies, int shard, UsageCounters counters) {
        this.dependencies = dependencies;
        this.duty = DutyId.usage(shard);
        this.shard = shard;
        this.counters = counters;
        Sender sender = Sender.newBuilder()
                .setInstanceId(dependencies.self().instance().value())
                .setIncarnationId(dependencies.self().incarnation().value())
                .setPeerAddress(dependencies.self().peerAddress())
                .build();
        this.ledger = UsageLedger.create(sender, shard, dependencies.windowMillis());
    }

    void add(UsageKey key, UsageTotals totals, long epochMillis) {
        synchronized (ledger) {
            ledger.add(key, totals, epochMillis);
        }
    }

    boolean isAllDurable() {
        synchronized (ledger) {
            return ledger.isAllDurable();
        }
    }

    /** Accepts a batch of any node; the acknowledgement reports which batches are durable. */
    UsageAck accept(UsageBatch batch) {
        UsageAck.Builder ack = UsageAck.newBuilder();
        dependencies
                .directory()
                .holder(duty)
                .map(DutyHolder::instance)
                .map(InstanceId::value)
                .ifPresent(ack::setOwnerInstanceId);
        Optional<UsageStream> stream = UsageStream.fromString(batch.getSender().getIncarnationId());
        if (stream.isEmpty()) {
            // Refuses the malformed batch permanently.
            return ack.setSequence(batch.getSequence()).build();
        }
        synchronized (lock) {
            if (windows.isEmpty() || !isHeld()) {
                return ack.build();
            }
            UsageWindows.Acceptance acceptance = windows.get()
                    .accept(stream.get(), batch, dependencies.wallClockMillis().getAsLong());
            if (acceptance == UsageWindows.Acceptance.REFUSED) {
                return ack.setSequence(batch.getSequence()).build();
            }
            return ack.setAccepted(acceptance == UsageWindows.Acceptance.INCLUDED)
                    .setSequence(windows.get().durableSequence(stream.get()))
                    .build();
        }
    }

    /** Hands over this node's counts, and stores and reports the windows if this node is the holder. */
    void runCycle() {
        if (!cycleLock.tryLock()) {
            return;
        }
        try {
            openRecordIfHeld();
            handOver();
            if (windows.isPresent()) {
                write();
                report();
            }
        } finally {
            cycleLock.unlock();
        }
    }

    private Optional<Authority> authority() {
        return dependencies
                .authorities()
                .authority(duty, dependencies.clockMillis().getAsLong());
    }

    private boolean isHeld() {
        return record.filter(FencedRecord::isHeld).isPresent();
    }

    private void openRecordIfHeld() {
        Optional<Authority> authority = authority();
        boolean reacquired = record.isPresent()
                && authority.isPresent()
                && authority.get().fencingNumber() != record.get().fencingNumber();
        if (reacquired) {
            dropWindows();
        }
        if (authority.isEmpty() || record.isPresent()) {
            return;
        }
        Either<Failure, FencedRecord> opened = FencedRecord.open(
                dependencies.store(),
                duty.recordKey(dependencies.site()),
                dependencies.authorities(),
                authority.get(),
                dependencies.clockMillis());
        if (opened.isLeft()) {
            LOG.log(System.Logger.Level.WARNING, opened.getLeft()::toString);
            return;
        }
        UsageWindows loaded = UsageWindows.load(
                dependencies.site(),
                shard,
                dependencies.windowMillis(),
                dependencies.graceMillis(),
                opened.get().body());
        synchronized (lock) {
            record = Optional.of(opened.get());
            windows = Optional.of(loaded);
        }
    }

    /** Drops the windows; nodes hand over again the batches that were not durable. */
    private void dropWindows() {
        synchronized (lock) {
            record = Optional.empty();
            windows = Optional.empty();
        }
    }

    private void handOver() {
        Optional<DutyHolder> holder = dependencies.directory().holder(duty);
        if (holder.isEmpty()) {
            return;
        }
        boolean local = holder.get().incarnation().equals(dependencies.self().incarnation());
        List<UsageBatch> batches;
        synchronized (ledger) {
            batches = ledger.batchesToSend(dependencies.wallClockMillis().getAsLong());
        }
        for (UsageBatch batch : batches) {
            Either<Failure, UsageAck> ack = local
                    ? Either.right(accept(batch))
                    : dependencies.batchSender().send(holder.get(), batch);
            if (ack.isLeft()) {
                LOG.log(System.Logger.Level.DEBUG, ack.getLeft()::toString);
                return;
            }
            onAck(batch, ack.get());
            if (!ack.get().getAccepted()) {
                return;
            }
        }
    }

    private void onAck(UsageBatch batch, UsageAck ack) {
        boolean refused = !ack.getAccepted() && ack.getSequence() >= batch.getSequence();
        if (refused) {
            counters.onRefused(batch);
            LOG.log(
                    System.Logger.Level.ERROR,
                    "usage batch {0} of shard {1} dropped: the holder refused it as a possible duplicate;"
                            + " its counts may never be reported",
                    batch.getSequence(),
                    shard);
        }
        UsageStream.fromString(batch.getSender().getIncarnationId()).ifPresent(stream -> {
            synchronized (ledger) {
                ledger.onDurable(stream, ack.getSequence());
            }
        });
    }

    private void write() {
        UsageWindows.Snapshot snapshot;
        synchronized (lock) {
            if (!isHeld()) {
                return;
            }
            windows.get().advanceTo(dependencies.wallClockMillis().getAsLong());
            if (!windows.get().isDirty()) {
                return;
            }
            snapshot = windows.get().snapshot();
        }
        Either<Failure, Long> written = record.get().write(snapshot.body());
        if (written.isRight()) {
            synchronized (lock) {
                windows.get().onDurable(snapshot);
            }
            return;
        }
        LOG.log(System.Logger.Level.WARNING, written.getLeft()::toString);
        if (written.getLeft().kind() == Failure.Kind.REJECTED) {
            dropWindows();
        }
    }

    private void report() {
        List<SealedWindow> reportable;
        synchronized (lock) {
            reportable = windows.map(UsageWindows::reportableWindows).orElse(List.of());
        }
        for (SealedWindow window : reportable) {
            if (!isHeld()) {
                return;
            }
            Either<Failure, UsageReporter.Receipt> receipt =
                    dependencies.reporter().report(window);
            if (receipt.isLeft()) {
                LOG.log(System.Logger.Level.WARNING, receipt.getLeft()::toString);
                return;
            }
            if (receipt.get() == UsageReporter.Receipt.CONFLICT) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "usage window {0} conflicts: the usage interface has recorded it with different counts;"
                                + " it counts as reported",
                        window.window());
            }
            counters.onReported(receipt.get());
            synchronized (lock) {
                windows.ifPresent(open -> open.onReported(window, receipt.get()));
            }
        }
    }
}
