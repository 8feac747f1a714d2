package org.cactusshift.internal.coordination.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The entries of a claim shard that are not yet durable in its log.
 *
 * <p>An entry is first waiting, then being written, and then either durable or, when the effect of the write is
 * unknown, in doubt. A write of unknown effect is resolved by the next one, which contains the same entries except the
 * claims that were withdrawn meanwhile: whichever of the two the store applies first, the content of the head is known
 * after the second.
 *
 * <p>Not thread-safe.
 */
final class ClaimQueue {
    /**
     * The maximum number of entries in one write. With the longest bodies, of {@link ClaimLogEntry#MAXIMUM_BODY_BYTES}
     * in base64, such entries add about 400 KB to a head of less than {@link ClaimLog#SEGMENT_BYTES}; the value stays
     * well below the size limit of the store.
     */
    static final int MAXIMUM_BATCH_ENTRIES = 128;

    private final int maximumBatchEntries;
    private final Map<String, PendingEntry> waiting = new LinkedHashMap<>();
    private final Map<String, PendingEntry> writing = new LinkedHashMap<>();
    private final Map<String, PendingEntry> inDoubt = new LinkedHashMap<>();
    private final List<PendingEntry> withdrawnInDoubt = new ArrayList<>();

    private ClaimQueue(int maximumBatchEntries) {
        this.maximumBatchEntries = maximumBatchEntries;
    }

    static ClaimQueue create(int maximumBatchEntries) {
        return new ClaimQueue(maximumBatchEntries);
    }

    /** The state of the log entry of a claim in the queue. */
    enum EntryState {
        /** The entry was never part of a write. */
        UNWRITTEN,
        /** The entry is part of a write of unknown effect; the next write omits it. */
        IN_DOUBT,
        /** The entry is being written. */
        WRITING,
        /** There is no such entry. */
        ABSENT
    }

    /**
     * The entries of one write.
     *
     * @param inDoubt entries that may already be in the log
     * @param unwritten entries that are certainly not in the log
     */
    record Batch(List<PendingEntry> inDoubt, List<PendingEntry> unwritten) {
        List<PendingEntry> all() {
            List<PendingEntry> all = new ArrayList<>(inDoubt);
            all.addAll(unwritten);
            return all;
        }
    }

    /** Adds an entry, or returns the waiting entry of the same kind, key and attempt. */
    PendingEntry add(ClaimLogEntry entry) {
        return waiting.computeIfAbsent(
                id(entry.kind(), new ClaimKey(entry.key()), entry.attempt()), id -> PendingEntry.of(entry));
    }

    Optional<PendingEntry> find(ClaimLogEntry.Kind kind, ClaimKey key, String attempt) {
        String id = id(kind, key, attempt);
        for (Map<String, PendingEntry> entries : List.of(waiting, writing, inDoubt)) {
            if (entries.containsKey(id)) {
                return Optional.of(entries.get(id));
            }
        }
        return Optional.empty();
    }

    /**
     * Removes a claim from the queue unless it is being written. Returns the state of its entry before.
     */
    EntryState withdrawClaim(ClaimKey key, String attempt) {
        String id = id(ClaimLogEntry.Kind.CLAIM, key, attempt);
        if (waiting.remove(id) != null) {
            return EntryState.UNWRITTEN;
        }
        if (writing.containsKey(id)) {
            return EntryState.WRITING;
        }
        PendingEntry pending = inDoubt.remove(id);
        if (pending == null) {
            return EntryState.ABSENT;
        }
        withdrawnInDoubt.add(pending);
        return EntryState.IN_DOUBT;
    }

    boolean needsWrite() {
        return !waiting.isEmpty() || !inDoubt.isEmpty() || !withdrawnInDoubt.isEmpty();
    }

    /** Removes and returns the entries of the next write, those in doubt first. */
    Batch takeBatch() {
        List<PendingEntry> entriesInDoubt = List.copyOf(inDoubt.values());
        inDoubt.clear();
        List<PendingEntry> unwritten = new ArrayList<>();
        Iterator<PendingEntry> next = waiting.values().iterator();
        while (next.hasNext() && entriesInDoubt.size() + unwritten.size() < maximumBatchEntries) {
            unwritten.add(next.next());
            next.remove();
        }
        Batch batch = new Batch(entriesInDoubt, unwritten);
        batch.all().forEach(pending -> writing.put(id(pending), pending));
        return batch;
    }

    /** Records that the write is durable. Returns the withdrawn claims that it omitted. */
    List<PendingEntry> onDurable() {
        writing.clear();
        List<PendingEntry> omitted = List.copyOf(withdrawnInDoubt);
        withdrawnInDoubt.clear();
        return omitted;
    }

    /** Records that the effect of the write is unknown. */
    void onUnknownEffect(Batch batch) {
        writing.clear();
        batch.all().forEach(pending -> inDoubt.put(id(pending), pending));
    }

    /**
     * Records that the write had no effect: entries in doubt remain in doubt, outcomes and withdrawals wait for the
     * next write, and the new claims, which are certainly not in the log, are removed and returned.
     */
    List<PendingEntry> onNoEffect(Batch batch) {
        writing.clear();
        batch.inDoubt().forEach(pending -> inDoubt.put(id(pending), pending));
        List<PendingEntry> claims =
                batch.unwritten().stream().filter(PendingEntry::isClaim).toList();
        batch.unwritten().stream()
                .filter(pending -> !pending.isClaim())
                .forEach(pending -> waiting.put(id(pending), pending));
        return claims;
    }

    /** Removes and returns all entries, because this node lost the shard. */
    List<PendingEntry> drain() {
        List<PendingEntry> all = new ArrayList<>(withdrawnInDoubt);
        withdrawnInDoubt.clear();
        for (Map<String, PendingEntry> entries : List.of(waiting, writing, inDoubt)) {
            all.addAll(entries.values());
            entries.clear();
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
