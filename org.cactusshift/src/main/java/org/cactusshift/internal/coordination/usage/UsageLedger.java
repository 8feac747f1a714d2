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
 * A node's counts of one usage shard that are not yet durable at the shard's holder.
 *
 * <p>Counts are added up until the next hand-over, then frozen in a batch with the next sequence number. A batch is
 * kept, unchanged, until the holder says that it is durable; it may be sent any number of times and to any holder.
 * While few batches may be outstanding, later counts go on adding up, so that memory is bounded by accounts, services
 * and windows and not by the length of an outage.
 *
 * <p>Not thread-safe.
 */
public final class UsageLedger {
    private static final int MAXIMUM_OUTSTANDING_BATCHES = 4;
    private static final int MAXIMUM_BATCH_COUNTS = 2_000;
    private static final long MAXIMUM_SILENCE_MILLIS = UsageWindows.MARK_RETENTION_MILLIS / 2;

    private final Sender sender;
    private final int shard;
    private final long windowMillis;
    private final TreeMap<Slot, UsageTotals> counting = new TreeMap<>();
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
     * Returns an empty ledger.
     *
     * @param sender the node, named in each batch with the stream in place of the incarnation
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
     * @param key what it is added up by
     * @param totals the usage
     * @param finishedAtEpochMillis the wall-clock time at which it arose
     */
    public void add(UsageKey key, UsageTotals totals, long finishedAtEpochMillis) {
        long windowFrom = Math.floorDiv(finishedAtEpochMillis, windowMillis) * windowMillis;
        counting.merge(new Slot(windowFrom, key), totals, UsageTotals::plus);
    }

    /**
     * Freezes what was counted since the last call, and returns all batches that are not durable.
     *
     * <p>Called only when a holder is known: a batch that was never sent should not grow old, because the holder
     * refuses streams that it may have forgotten.
     *
     * @param nowEpochMillis the present wall-clock time
     * @return the batches to send, in the order of their sequence numbers
     */
    public List<UsageBatch> handOver(long nowEpochMillis) {
        while (!counting.isEmpty() && outstanding.size() < MAXIMUM_OUTSTANDING_BATCHES) {
            outstanding.addLast(freeze(nowEpochMillis));
        }
        return List.copyOf(outstanding);
    }

    /**
     * Drops the batches that the holder has made durable.
     *
     * @param of the stream that was acknowledged
     * @param durableSequence the last sequence number that is durable
     */
    public void onDurable(UsageStream of, long durableSequence) {
        if (!stream.equals(Optional.of(of))) {
            return;
        }
        while (!outstanding.isEmpty() && outstanding.peekFirst().getSequence() <= durableSequence) {
            outstanding.removeFirst();
        }
    }

    /**
     * Tells whether everything counted is durable.
     *
     * @return false while counts wait
     */
    public boolean isEmpty() {
        return counting.isEmpty() && outstanding.isEmpty();
    }

    private UsageBatch freeze(long nowEpochMillis) {
        boolean silentForLong = nowEpochMillis - lastFrozenAtEpochMillis > MAXIMUM_SILENCE_MILLIS;
        if (stream.isEmpty() || (outstanding.isEmpty() && silentForLong)) {
            stream = Optional.of(new UsageStream(IncarnationId.fromString(sender.getIncarnationId()), nowEpochMillis));
            lastSequence = 0;
        }
        lastFrozenAtEpochMillis = nowEpochMillis;
        lastSequence++;
        UsageBatch.Builder batch = UsageBatch.newBuilder()
                .setSender(sender.toBuilder().setIncarnationId(stream.get().toString()))
                .setShard(shard)
                .setSequence(lastSequence);
        while (!counting.isEmpty() && batch.getCountsCount() < MAXIMUM_BATCH_COUNTS) {
            Map.Entry<Slot, UsageTotals> entry = counting.pollFirstEntry();
            batch.addCounts(count(entry.getKey(), entry.getValue()));
        }
        return batch.build();
    }

    private static UsageCount count(Slot slot, UsageTotals totals) {
        return UsageCount.newBuilder()
                .setAccountId(slot.key().account().value())
                .setServiceId(slot.key().service().value())
                .setPromptTokens(totals.promptTokens())
                .setCompletionTokens(totals.completionTokens())
                .setRequests(totals.requests())
                .setFinishedAtEpochMillis(slot.windowFromEpochMillis())
                .build();
    }

    /** A window and what usage is added up by in it. */
    private record Slot(long windowFromEpochMillis, UsageKey key) implements Comparable<Slot> {
        @Override
        public int compareTo(Slot other) {
            int order = Long.compare(windowFromEpochMillis, other.windowFromEpochMillis);
            return order != 0 ? order : key.compareTo(other.key);
        }
    }
}
