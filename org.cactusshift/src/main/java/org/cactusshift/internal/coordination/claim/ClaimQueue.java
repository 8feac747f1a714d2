package org.cactusshift.internal.coordination.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The lines of a claim shard on their way into the log.
 *
 * <p>A line waits, is being written, and is then durable, or in doubt when the write's effect is unknown. A write of
 * unknown effect is settled by the next one, which holds the same lines except the claims that were withdrawn
 * meanwhile: whichever of the two the store applies first, the head is known after the second.
 *
 * <p>Not thread-safe.
 */
final class ClaimQueue {
    /** The most lines in one write; with the longest lines they stay well under the store's limit for a value. */
    static final int MAXIMUM_BATCH_LINES = 128;

    private final int maximumBatchLines;
    private final Map<String, PendingEntry> waiting = new LinkedHashMap<>();
    private final Map<String, PendingEntry> writing = new LinkedHashMap<>();
    private final Map<String, PendingEntry> inDoubt = new LinkedHashMap<>();
    private final List<PendingEntry> withdrawnInDoubt = new ArrayList<>();

    private ClaimQueue(int maximumBatchLines) {
        this.maximumBatchLines = maximumBatchLines;
    }

    static ClaimQueue create(int maximumBatchLines) {
        return new ClaimQueue(maximumBatchLines);
    }

    /** What became of the line of a withdrawn claim. */
    enum Withdrawal {
        /** It was never part of a write. */
        UNWRITTEN,
        /** It is part of a write whose effect is unknown; the next write leaves it out. */
        IN_DOUBT,
        /** It is being written. */
        WRITING,
        /** There is none. */
        ABSENT
    }

    /**
     * The lines of one write.
     *
     * @param inDoubt lines that may be in the log already
     * @param fresh lines that are certainly not
     */
    record Batch(List<PendingEntry> inDoubt, List<PendingEntry> fresh) {
        List<PendingEntry> all() {
            List<PendingEntry> all = new ArrayList<>(inDoubt);
            all.addAll(fresh);
            return all;
        }
    }

    /** Adds a line; returns the one that waits already if there is the same. */
    PendingEntry add(ClaimLogEntry entry) {
        return waiting.computeIfAbsent(
                id(entry.kind(), new ClaimKey(entry.key()), entry.attempt()), id -> PendingEntry.of(entry));
    }

    Optional<PendingEntry> find(ClaimLogEntry.Kind kind, ClaimKey key, String attempt) {
        String id = id(kind, key, attempt);
        for (Map<String, PendingEntry> lines : List.of(waiting, writing, inDoubt)) {
            if (lines.containsKey(id)) {
                return Optional.of(lines.get(id));
            }
        }
        return Optional.empty();
    }

    Withdrawal withdrawClaim(ClaimKey key, String attempt) {
        String id = id(ClaimLogEntry.Kind.CLAIM, key, attempt);
        if (waiting.remove(id) != null) {
            return Withdrawal.UNWRITTEN;
        }
        if (writing.containsKey(id)) {
            return Withdrawal.WRITING;
        }
        PendingEntry pending = inDoubt.remove(id);
        if (pending == null) {
            return Withdrawal.ABSENT;
        }
        withdrawnInDoubt.add(pending);
        return Withdrawal.IN_DOUBT;
    }

    boolean hasWork() {
        return !waiting.isEmpty() || !inDoubt.isEmpty() || !withdrawnInDoubt.isEmpty();
    }

    /** Takes the lines of the next write, those in doubt first. */
    Batch takeBatch() {
        List<PendingEntry> doubtful = List.copyOf(inDoubt.values());
        inDoubt.clear();
        List<PendingEntry> fresh = new ArrayList<>();
        Iterator<PendingEntry> more = waiting.values().iterator();
        while (more.hasNext() && doubtful.size() + fresh.size() < maximumBatchLines) {
            fresh.add(more.next());
            more.remove();
        }
        Batch batch = new Batch(doubtful, fresh);
        batch.all().forEach(pending -> writing.put(id(pending), pending));
        return batch;
    }

    /** Ends a write that is durable; returns the withdrawn claims that it left out. */
    List<PendingEntry> onDurable() {
        writing.clear();
        List<PendingEntry> settled = List.copyOf(withdrawnInDoubt);
        withdrawnInDoubt.clear();
        return settled;
    }

    /** Ends a write of unknown effect. */
    void onUnknownEffect(Batch batch) {
        writing.clear();
        batch.all().forEach(pending -> inDoubt.put(id(pending), pending));
    }

    /** Ends a write without effect; returns the claims that are certainly not in the log. */
    List<PendingEntry> onNoEffect(Batch batch) {
        writing.clear();
        batch.inDoubt().forEach(pending -> inDoubt.put(id(pending), pending));
        List<PendingEntry> claims =
                batch.fresh().stream().filter(PendingEntry::isClaim).toList();
        batch.fresh().stream()
                .filter(pending -> !pending.isClaim())
                .forEach(pending -> waiting.put(id(pending), pending));
        return claims;
    }

    /** Takes everything, because the shard was lost. */
    List<PendingEntry> drain() {
        List<PendingEntry> all = new ArrayList<>(withdrawnInDoubt);
        withdrawnInDoubt.clear();
        for (Map<String, PendingEntry> lines : List.of(waiting, writing, inDoubt)) {
            all.addAll(lines.values());
            lines.clear();
        }
        return all;
    }

    private static String id(PendingEntry pending) {
        return id(pending.entry().kind(), pending.key(), pending.entry().attempt());
    }

    private static String id(ClaimLogEntry.Kind kind, ClaimKey key, String attempt) {
        return kind + " " + key.digest() + " " + attempt;
    }
}
