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
 * Reads and writes the log of one claim shard, under one authority.
 *
 * <p>Not thread-safe.
 */
final class ClaimLogStore {
    /** How long a claim is kept; a repeat after that is a new call. */
    static final long RETENTION_MILLIS = 86_400_000;

    private static final String SEGMENT_STEP = "write claim segment";

    private final ClaimServiceDependencies setup;
    private final DutyId duty;
    private final FencedRecord record;
    private ClaimLog log;

    private ClaimLogStore(ClaimServiceDependencies setup, DutyId duty, FencedRecord record) {
        this.setup = setup;
        this.duty = duty;
        this.record = record;
        this.log = ClaimLog.fromBytes(record.body());
    }

    static Either<Failure, ClaimLogStore> open(ClaimServiceDependencies setup, DutyId duty, Authority authority) {
        return FencedRecord.open(
                        setup.store(),
                        duty.recordKey(setup.site()),
                        setup.authorities(),
                        authority,
                        setup.clockMillis())
                .map(record -> new ClaimLogStore(setup, duty, record));
    }

    long fencingNumber() {
        return record.fencingNumber();
    }

    boolean isHeld() {
        return record.isHeld();
    }

    boolean hasRoom() {
        return log.hasRoom();
    }

    /** Reads all claims into a table; no claim may be granted before. */
    Either<Failure, ClaimTable> load() {
        List<String> lines = new ArrayList<>();
        for (ClaimLog.Segment segment : log.segments()) {
            Either<Failure, Optional<VersionedValue>> read = setup.store().get(segmentKey(segment.name()));
            if (read.isLeft()) {
                return Either.left(read.getLeft());
            }
            // A segment that the head names is missing only when it expired and the head was not yet written.
            read.get().ifPresent(value -> lines.addAll(ClaimLog.readLines(value.value())));
        }
        lines.addAll(log.lines());
        ClaimTable table = ClaimTable.create();
        lines.forEach(line -> ClaimLogEntry.fromLine(line).applyTo(table));
        table.expire(setup.wallClockMillis().getAsLong() - RETENTION_MILLIS);
        return Either.right(table);
    }

    /** Appends lines in one write of the head; a full head becomes a segment first. */
    Either<Failure, Long> append(List<ClaimLogEntry> entries) {
        ClaimLog base = log;
        if (base.isHeadFull()) {
            String name = base.nextSegment() + "-" + fencingNumber();
            Either<Failure, Boolean> written = writeSegment(name, base.segmentBytes());
            if (written.isLeft()) {
                return Either.left(written.getLeft());
            }
            base = base.roll(name, setup.wallClockMillis().getAsLong());
        }
        long expiryEpochMillis = setup.wallClockMillis().getAsLong() - RETENTION_MILLIS;
        List<ClaimLog.Segment> expired = base.segmentsFullBefore(expiryEpochMillis);
        ClaimLog next = base.without(expired).append(entries);
        Either<Failure, Long> swapped = record.write(next.toBytes());
        if (swapped.isRight()) {
            log = next;
            expired.forEach(this::deleteSegment);
        }
        return swapped;
    }

    /**
     * Writes a segment. It takes effect only through the head that names it, so that a failure here means that the
     * entries to be appended were not written.
     */
    private Either<Failure, Boolean> writeSegment(String name, byte[] bytes) {
        String key = segmentKey(name);
        Either<Failure, SwapResult> swap = setup.store().compareAndSwap(key, 0, bytes, LeaseGrant.NONE);
        if (swap.isRight() && swap.get().isApplied()) {
            return Either.right(true);
        }
        Either<Failure, Optional<VersionedValue>> found = swap.isRight()
                ? Either.right(swap.get().current())
                : setup.store().get(key);
        boolean same = found.isRight()
                && found.get()
                        .filter(value -> Arrays.equals(value.value(), bytes))
                        .isPresent();
        return same
                ? Either.right(true)
                : Either.left(Failure.noEffect(SEGMENT_STEP, key, "the segment is not known to be written"));
    }

    private void deleteSegment(ClaimLog.Segment segment) {
        String key = segmentKey(segment.name());
        // A segment that stays behind takes room and has no effect, because no head names it.
        setup.store()
                .get(key)
                .forEach(found -> found.ifPresent(value -> setup.store().compareAndDelete(key, value.modRevision())));
    }

    private String segmentKey(String name) {
        return duty.recordKey(setup.site()) + "/segment/" + name;
    }
}
