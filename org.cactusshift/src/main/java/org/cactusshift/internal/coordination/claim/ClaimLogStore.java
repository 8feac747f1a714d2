package org.cactusshift.internal.coordination.claim;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.FencedRecord;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Reads and writes the log of one claim shard under one authority of this node.
 *
 * <p>Not thread-safe.
 */
final class ClaimLogStore {
    /** The retention period of a claim, 24 hours; after it, a repeated call counts as a new one. */
    static final long RETENTION_MILLIS = 86_400_000;

    private static final String SEGMENT_STEP = "write claim segment";

    private final ClaimServiceDependencies dependencies;
    private final DutyId duty;
    private final FencedRecord record;
    private ClaimLog log;

    private ClaimLogStore(ClaimServiceDependencies dependencies, DutyId duty, FencedRecord record) {
        this.dependencies = dependencies;
        this.duty = duty;
        this.record = record;
        this.log = ClaimLog.fromBytes(record.body());
    }

    static Either<Failure, ClaimLogStore> open(
            ClaimServiceDependencies dependencies, DutyId duty, Authority authority) {
        return FencedRecord.open(
                        dependencies.store(),
                        duty.recordKey(dependencies.site()),
                        dependencies.authorities(),
                        authority,
                        dependencies.clockMillis())
                .map(record -> new ClaimLogStore(dependencies, duty, record));
    }

    long fencingNumber() {
        return record.fencingNumber();
    }

    boolean isHeld() {
        return record.isHeld();
    }

    boolean isBelowSegmentLimit() {
        return log.isBelowSegmentLimit();
    }

    /** Loads all claims into a table. The shard must not grant a claim before this has completed. */
    Either<Failure, ClaimTable> load() {
        List<String> lines = new ArrayList<>();
        for (ClaimLog.Segment segment : log.segments()) {
            Either<Failure, Optional<VersionedValue>> read =
                    dependencies.store().get(segmentKey(segment.name()));
            if (read.isLeft()) {
                return Either.left(read.getLeft());
            }
            // A listed segment that the store does not have is skipped. A segment is deleted only after the head that
            // no longer lists it was written.
            read.get().ifPresent(value -> lines.addAll(ClaimLog.readLines(value.value())));
        }
        lines.addAll(log.lines());
        ClaimTable table = ClaimTable.create();
        lines.forEach(line -> ClaimLogEntry.fromLine(line).applyTo(table));
        table.expire(dependencies.wallClockMillis().getAsLong() - RETENTION_MILLIS);
        return Either.right(table);
    }

    /**
     * Appends entries with one write of the head. A full head is written as a segment first. Returns the revision of
     * the head, or the failure.
     */
    Either<Failure, Long> append(List<ClaimLogEntry> entries) {
        ClaimLog current = log;
        if (current.isHeadFull()) {
            String name = current.nextSegment() + "-" + fencingNumber();
            Either<Failure, Boolean> written = writeSegment(name, current.segmentBytes());
            if (written.isLeft()) {
                return Either.left(written.getLeft());
            }
            current = current.withHeadAsSegment(
                    name, dependencies.wallClockMillis().getAsLong());
        }
        long expiryEpochMillis = dependencies.wallClockMillis().getAsLong() - RETENTION_MILLIS;
        List<ClaimLog.Segment> expired = current.segmentsFullBefore(expiryEpochMillis);
        ClaimLog next = current.without(expired).append(entries);
        Either<Failure, Long> swapped = record.write(next.toBytes());
        if (swapped.isRight()) {
            log = next;
            expired.forEach(this::deleteSegment);
        }
        return swapped;
    }

    /**
     * Writes a segment. It takes effect only with the head that lists it, so a failure here means that the entries to
     * be appended were not written. Returns true when the segment is stored, else the failure.
     */
    private Either<Failure, Boolean> writeSegment(String name, byte[] bytes) {
        String key = segmentKey(name);
        Either<Failure, SwapResult> swap = dependencies.store().compareAndSwap(key, 0, bytes, LeaseGrant.NONE);
        if (swap.isRight() && swap.get().isApplied()) {
            return Either.right(true);
        }
        Either<Failure, Optional<VersionedValue>> found = swap.isRight()
                ? Either.right(swap.get().current())
                : dependencies.store().get(key);
        boolean isWritten = found.isRight()
                && found.get()
                        .filter(value -> Arrays.equals(value.value(), bytes))
                        .isPresent();
        return isWritten
                ? Either.right(true)
                : Either.left(Failure.noEffect(
                        SEGMENT_STEP,
                        key,
                        "the segment was not written or could not be read back; the entries were not appended"));
    }

    private void deleteSegment(ClaimLog.Segment segment) {
        String key = segmentKey(segment.name());
        // A segment that remains uses space but has no effect, because no head lists it.
        dependencies
                .store()
                .get(key)
                .forEach(found ->
                        found.ifPresent(value -> dependencies.store().compareAndDelete(key, value.modRevision())));
    }

    private String segmentKey(String name) {
        return duty.recordKey(dependencies.site()) + "/segment/" + name;
    }
}
