package org.cactusshift.internal.coordination.usage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.messages.UsageBatch;
import org.cactusshift.messages.UsageCount;

/**
 * The usage windows of one shard, as managed by its holder.
 *
 * <p>The holder updates them in memory and writes all of them as one value by compare-and-swap. A batch is reported as
 * durable, and a sealed window is reported, only after the value that includes it is durable. Batches that a killed
 * holder had only in memory are therefore handed over again to its successor, and no window is reported whose counts
 * could still change.
 *
 * <p>Not thread-safe. Reads no clock and performs no I/O.
 */
public final class UsageWindows {
    /** The maximum number of open windows; usage for a further one is counted as late in the oldest open window. */
    private static final int MAXIMUM_OPEN_WINDOWS = 3;
    /** The maximum number of retained windows for which the usage interface has recorded different counts. */
    private static final int MAXIMUM_CONFLICTED_WINDOWS = 16;
    /** The estimated size of an encoded row or stream position. */
    private static final int APPROXIMATE_ROW_BYTES = 200;
    /** The estimated size above which the record accepts no more batches, about half of the limit of a store value. */
    static final int MAXIMUM_RECORD_BYTES = 512 * 1024;
    /** How long the position of an idle stream, that is its last sequence number, is retained: 24 hours. */
    static final long POSITION_RETENTION_MILLIS = 86_400_000;

    private final SiteId site;
    private final int shard;
    private final long windowMillis;
    private final long graceMillis;
    private final TreeMap<Long, TreeMap<UsageKey, UsageTotals>> rowsByOpenWindowStart = new TreeMap<>();
    private final Map<UsageStream, StreamPosition> positionByStream = new HashMap<>();
    private final Map<String, SealedWindow> sealedWindowByName = new TreeMap<>();
    private final Map<String, SealedWindow> conflictedWindowByName = new TreeMap<>();
    private long sealedToEpochMillis;
    /** The number of changes since the windows were loaded; not stored. */
    private long version;

    private Snapshot durable;

    private UsageWindows(SiteId site, int shard, long windowMillis, long graceMillis) {
        this.site = Objects.requireNonNull(site, "site");
        this.shard = shard;
        this.windowMillis = windowMillis;
        this.graceMillis = graceMillis;
    }

    /** The result of accepting a batch. */
    public enum Acceptance {
        /**
         * The batch is included, by this or an earlier call; see {@link #durableSequence} for whether it is durable.
         */
        INCLUDED,
        /** An earlier batch of the stream is missing, or the record is full for now; the batch may be sent again. */
        RETRY_LATER,
        /** The batch can't be distinguished from a duplicate any more and is refused permanently. */
        REFUSED
    }

    /**
     * A snapshot of the record.
     *
     * @param version the version of the content, which grows with each change
     * @param body the encoded record
     * @param sequenceByStream the sequence number of the last included batch of each stream
     * @param sealedWindowByName the included sealed windows, by name
     */
    public record Snapshot(
            long version,
            byte[] body,
            Map<UsageStream, Long> sequenceByStream,
            Map<String, SealedWindow> sealedWindowByName) {
        /** Copies the maps. */
        public Snapshot {
            sequenceByStream = Map.copyOf(sequenceByStream);
            sealedWindowByName = Map.copyOf(sealedWindowByName);
        }
    }

    private record StreamPosition(long sequence, long seenAtEpochMillis) {}

    /**
     * Loads the windows from the shard's durable record.
     *
     * @param site the site
     * @param shard the usage shard
     * @param windowMillis the length of a window
     * @param graceMillis how long a window accepts counts after its end
     * @param body the body of the record; no bytes when there is none
     * @return the windows
     */
    public static UsageWindows load(SiteId site, int shard, long windowMillis, long graceMillis, byte[] body) {
        UsageWindows windows = new UsageWindows(site, shard, windowMillis, graceMillis);
        UsageRecordBody record = UsageRecordBody.fromBytes(body);
        windows.sealedToEpochMillis = record.sealedToEpochMillis();
        for (UsageRecordBody.Window window : record.open()) {
            TreeMap<UsageKey, UsageTotals> rows = new TreeMap<>();
            for (UsageRecordBody.Row row : window.rows()) {
                rows.put(new UsageKey(new AccountId(row.account()), new ServiceId(row.service())), row.totals());
            }
            windows.rowsByOpenWindowStart.put(window.fromEpochMillis(), rows);
        }
        for (UsageRecordBody.Mark mark : record.marks()) {
            UsageStream.fromString(mark.stream())
                    .ifPresent(stream -> windows.positionByStream.put(
                            stream, new StreamPosition(mark.sequence(), mark.seenAtEpochMillis())));
        }
        record.sealed().forEach(window -> windows.sealedWindowByName.put(window.window(), window));
        record.conflicted().forEach(window -> windows.conflictedWindowByName.put(window.window(), window));
        windows.durable = windows.snapshot();
        return windows;
    }

    /**
     * Accepts a batch.
     *
     * @param stream the stream that the batch belongs to
     * @param batch the batch
     * @param nowEpochMillis the current wall-clock time
     * @return the result
     */
    public Acceptance accept(UsageStream stream, UsageBatch batch, long nowEpochMillis) {
        StreamPosition position = positionByStream.get(stream);
        if (position == null && mayPositionHaveBeenDropped(stream, nowEpochMillis)) {
            return Acceptance.REFUSED;
        }
        long last = position == null ? 0 : position.sequence();
        if (position != null) {
            positionByStream.put(stream, new StreamPosition(last, nowEpochMillis));
        }
        if (batch.getSequence() <= last) {
            return Acceptance.INCLUDED;
        }
        boolean gap = batch.getSequence() != last + 1;
        if (gap || approximateBytes() + batch.getCountsCount() * APPROXIMATE_ROW_BYTES > MAXIMUM_RECORD_BYTES) {
            return Acceptance.RETRY_LATER;
        }
        for (UsageCount count : batch.getCountsList()) {
            add(count, nowEpochMillis);
        }
        positionByStream.put(stream, new StreamPosition(batch.getSequence(), nowEpochMillis));
        version++;
        return Acceptance.INCLUDED;
    }

    private static boolean mayPositionHaveBeenDropped(UsageStream stream, long nowEpochMillis) {
        return stream.startedAtEpochMillis() < nowEpochMillis - POSITION_RETENTION_MILLIS;
    }

    private void add(UsageCount count, long nowEpochMillis) {
        UsageKey key = new UsageKey(new AccountId(count.getAccountId()), new ServiceId(count.getServiceId()));
        UsageTotals totals =
                UsageTotals.onTime(count.getPromptTokens(), count.getCompletionTokens(), count.getRequests());
        // The clock of a sender may be ahead: its usage is put into the next window at most.
        long newestStartEpochMillis = align(nowEpochMillis) + windowMillis;
        long startEpochMillis = Math.min(align(count.getFinishedAtEpochMillis()), newestStartEpochMillis);
        if (startEpochMillis < sealedToEpochMillis) {
            startEpochMillis = sealedToEpochMillis;
            totals = totals.asLate();
        }
        if (!rowsByOpenWindowStart.containsKey(startEpochMillis)
                && rowsByOpenWindowStart.size() >= MAXIMUM_OPEN_WINDOWS) {
            // Happens only when the holder has not sealed windows for long or a clock is wrong: count the usage as late
            // in the oldest open window, even if that starts later.
            startEpochMillis = rowsByOpenWindowStart.firstKey();
            totals = totals.asLate();
        }
        rowsByOpenWindowStart
                .computeIfAbsent(startEpochMillis, ignored -> new TreeMap<>())
                .merge(key, totals, UsageTotals::plus);
    }

    private long align(long epochMillis) {
        return Math.floorDiv(epochMillis, windowMillis) * windowMillis;
    }

    /**
     * Seals the windows whose grace period has ended, and drops the positions of streams that were idle for long.
     *
     * @param nowEpochMillis the current wall-clock time
     */
    public void advanceTo(long nowEpochMillis) {
        long boundaryEpochMillis = align(nowEpochMillis - graceMillis);
        if (boundaryEpochMillis > sealedToEpochMillis) {
            sealBefore(boundaryEpochMillis);
        }
        long oldestEpochMillis = nowEpochMillis - POSITION_RETENTION_MILLIS;
        if (positionByStream.values().removeIf(position -> position.seenAtEpochMillis() < oldestEpochMillis)) {
            version++;
        }
    }

    private void sealBefore(long boundaryEpochMillis) {
        while (!rowsByOpenWindowStart.isEmpty() && rowsByOpenWindowStart.firstKey() < boundaryEpochMillis) {
            Map.Entry<Long, TreeMap<UsageKey, UsageTotals>> window = rowsByOpenWindowStart.pollFirstEntry();
            SealedWindow sealed =
                    UsageReport.seal(site, shard, window.getKey(), window.getKey() + windowMillis, window.getValue());
            sealedWindowByName.put(sealed.window(), sealed);
            version++;
        }
        // The version is not increased, as a new boundary alone needs no write: a later holder derives it from the
        // clock.
        sealedToEpochMillis = boundaryEpochMillis;
    }

    /**
     * Returns a snapshot of the current content.
     *
     * @return the snapshot
     */
    public Snapshot snapshot() {
        List<UsageRecordBody.Window> windows = new ArrayList<>();
        rowsByOpenWindowStart.forEach((startEpochMillis, rows) -> {
            List<UsageRecordBody.Row> list = new ArrayList<>();
            rows.forEach((key, totals) -> list.add(
                    new UsageRecordBody.Row(key.account().value(), key.service().value(), totals)));
            windows.add(new UsageRecordBody.Window(startEpochMillis, list));
        });
        List<UsageRecordBody.Mark> positions = new ArrayList<>();
        Map<UsageStream, Long> sequenceByStream = new HashMap<>();
        positionByStream.forEach((stream, position) -> {
            positions.add(
                    new UsageRecordBody.Mark(stream.toString(), position.sequence(), position.seenAtEpochMillis()));
            sequenceByStream.put(stream, position.sequence());
        });
        UsageRecordBody body = new UsageRecordBody(
                sealedToEpochMillis,
                windows,
                positions,
                List.copyOf(sealedWindowByName.values()),
                List.copyOf(conflictedWindowByName.values()));
        return new Snapshot(version, body.toBytes(), sequenceByStream, sealedWindowByName);
    }

    /**
     * Records that a snapshot is durable.
     *
     * @param snapshot the snapshot
     */
    public void onDurable(Snapshot snapshot) {
        if (snapshot.version() >= durable.version()) {
            durable = snapshot;
        }
    }

    /**
     * Returns whether the content must be written.
     *
     * @return true when the windows changed since the last durable snapshot
     */
    public boolean isDirty() {
        return version != durable.version();
    }

    /**
     * Returns the last durable batch of a stream.
     *
     * @param stream the stream
     * @return the sequence number, 0 for none
     */
    public long durableSequence(UsageStream stream) {
        return durable.sequenceByStream().getOrDefault(stream, 0L);
    }

    /**
     * Returns the windows that may be reported: those that are sealed, durable and not yet reported.
     *
     * @return the windows
     */
    public List<SealedWindow> reportableWindows() {
        return durable.sealedWindowByName().values().stream()
                .filter(window -> sealedWindowByName.containsKey(window.window()))
                .sorted(Comparator.comparing(SealedWindow::window))
                .toList();
    }

    /**
     * Records that a window was reported.
     *
     * @param window the window
     * @param receipt the response of the usage interface
     */
    public void onReported(SealedWindow window, UsageReporter.Receipt receipt) {
        if (sealedWindowByName.remove(window.window()) == null) {
            return;
        }
        version++;
        if (receipt == UsageReporter.Receipt.CONFLICT && conflictedWindowByName.size() < MAXIMUM_CONFLICTED_WINDOWS) {
            conflictedWindowByName.put(window.window(), window);
        }
    }

    /** Estimates the size of the rows, stream positions and sealed reports; leaves out the conflicted windows. */
    private long approximateBytes() {
        long rows = rowsByOpenWindowStart.values().stream().mapToLong(Map::size).sum() + positionByStream.size();
        long reports = sealedWindowByName.values().stream()
                .mapToLong(window -> window.report().length())
                .sum();
        return rows * APPROXIMATE_ROW_BYTES + reports;
    }
}
