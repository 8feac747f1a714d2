package org.cactusshift.internal.coordination.usage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.messages.Sender;
import org.cactusshift.messages.UsageBatch;
import org.cactusshift.messages.UsageCount;

/**
 * The usage counts of one shard at one node that are not yet durable at the shard's holder.
 *
 * <p>Counts are aggregated until the next hand-over, then frozen in a batch with the next sequence number. A batch is
 * retained unchanged until the holder reports it as durable; it may be sent any number of times and to any holder.
 * At most {@code MAXIMUM_OUTSTANDING_BATCHES} batches may be outstanding; later counts are still aggregated, so that
 * memory is bounded by the number of accounts, services and windows and not by the length of an outage.
 *
 * <p>Sequence numbers count within a {@link UsageStream}; a new stream starts when the next batch is frozen after a
 * long idle time with no batch outstanding.
 *
 * <p>Not thread-safe.
 */
public final class UsageLedger {
    private static final int MAXIMUM_OUTSTANDING_BATCHES = 4;
    private static final int MAXIMUM_COUNTS_PER_BATCH = 2_000;
    // A new stream starts well before the holder may have dropped the position, that is the last sequence number, of
    // the old one.
    private static final long MAXIMUM_IDLE_MILLIS = UsageWindows.POSITION_RETENTION_MILLIS / 2;

    private final Sender sender;
    private final int shard;
    private final long windowMillis;
    /** The totals that are not yet frozen in a batch. */
    private final TreeMap<WindowedUsageKey, UsageTotals> pendingTotalsByKey = new TreeMap<>();

    private final Deque<UsageBatch> outstanding = new ArrayDeque<>();
    private Optional<UsageStream> stream = Optional.empty();
    private long lastSequence;
    private long lastFrozenAtEpochMillis;

    private UsageLedger(Sender sender, int shard, long windowMillis) {
        this.sender = sender;
        this.shard = shard;
        this.windowMillis = windowMillis;
    }

    /**
     * Creates an empty ledger.
     *
     * @param sender the node; in a batch, the text form of the stream stands in place of its incarnation id
     * @param shard the usage shard
     * @param windowMillis the length of a usage window
     * @return the ledger
     */
    public static UsageLedger create(Sender sender, int shard, long windowMillis) {
        if (windowMillis <= 0) {
            throw new IllegalArgumentException("windowMillis is not positive: " + windowMillis);
        }
        return new UsageLedger(sender, shard, windowMillis);
    }

    /**
     * Adds usage.
     *
     * @param key the key by which it is aggregated
     * @param totals the usage
     * @param finishedAtEpochMillis the wall-clock time at which the attempt ended
     */
    public void add(UsageKey key, UsageTotals totals, long finishedAtEpochMillis) {
        long windowStartEpochMillis = Math.floorDiv(finishedAtEpochMillis, windowMillis) * windowMillis;
        pendingTotalsByKey.merge(new WindowedUsageKey(windowStartEpochMillis, key), totals, UsageTotals::plus);
    }

    /**
     * Freezes the counts since the last call in batches, and returns all batches that are not yet durable.
     *
     * <p>Must be called only when a holder is known, so that a stream does not start long before its first batch is
     * sent: the holder refuses old streams whose positions it may have dropped.
     *
     * @param nowEpochMillis the current wall-clock time
     * @return the batches to send, in the order of their sequence numbers
     */
    public List<UsageBatch> batchesToSend(long nowEpochMillis) {
        while (!pendingTotalsByKey.isEmpty() && outstanding.size() < MAXIMUM_OUTSTANDING_BATCHES) {
            outstanding.addLast(freeze(nowEpochMillis));
        }
        return List.copyOf(outstanding);
    }

    /**
     * Removes the batches that the holder reported as durable.
     *
     * @param acknowledgedStream the stream that was acknowledged
     * @param durableSequence the last sequence number that is durable
     */
    public void onDurable(UsageStream acknowledgedStream, long durableSequence) {
        if (!stream.equals(Optional.of(acknowledgedStream))) {
            return;
        }
        while (!outstanding.isEmpty() && outstanding.peekFirst().getSequence() <= durableSequence) {
            outstanding.removeFirst();
        }
    }

    /**
     * Returns whether all counts are durable.
     *
     * @return true if no totals wait to be frozen and no batch is outstanding
     */
    public boolean isAllDurable() {
        return pendingTotalsByKey.isEmpty() && outstanding.isEmpty();
    }

    private UsageBatch freeze(long nowEpochMillis) {
        boolean idleForLong = nowEpochMillis - lastFrozenAtEpochMillis > MAXIMUM_IDLE_MILLIS;
        if (stream.isEmpty() || (outstanding.isEmpty() && idleForLong)) {
            stream = Optional.of(new UsageStream(IncarnationId.fromString(sender.getIncarnationId()), nowEpochMillis));
            lastSequence = 0;
        }
        lastFrozenAtEpochMillis = nowEpochMillis;
        lastSequence++;
        UsageBatch.Builder batch = UsageBatch.newBuilder()
                .setSender(sender.toBuilder().setIncarnationId(stream.get().toString()))
                .setShard(shard)
                .setSequence(lastSequence);
        while (!pendingTotalsByKey.isEmpty() && batch.getCountsCount() < MAXIMUM_COUNTS_PER_BATCH) {
            Map.Entry<WindowedUsageKey, UsageTotals> entry = pendingTotalsByKey.pollFirstEntry();
            batch.addCounts(count(entry.getKey(), entry.getValue()));
        }
        return batch.build();
    }

    private static UsageCount count(WindowedUsageKey windowedKey, UsageTotals totals) {
        return UsageCount.newBuilder()
                .setAccountId(windowedKey.usageKey().account().value())
                .setServiceId(windowedKey.usageKey().service().value())
                .setPromptTokens(totals.promptTokens())
                .setCompletionTokens(totals.completionTokens())
                .setRequests(totals.requests())
                // An aggregated count carries the start of its window.
                .setFinishedAtEpochMillis(windowedKey.windowStartEpochMillis())
                .build();
    }

    /** The key of a count: a usage window and the usage key. */
    private record WindowedUsageKey(long windowStartEpochMillis, UsageKey usageKey)
            implements Comparable<WindowedUsageKey> {
        @Override
        public int compareTo(WindowedUsageKey other) {
            int order = Long.compare(windowStartEpochMillis, other.windowStartEpochMillis);
            return order != 0 ? order : usageKey.compareTo(other.usageKey);
        }
    }
}
