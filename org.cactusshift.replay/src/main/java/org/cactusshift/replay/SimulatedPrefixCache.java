package org.cactusshift.replay;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.internal.coordination.routing.PrefixIndex;

/** Simulates an engine's prefix cache in KV-cache blocks, with eviction of the least recently used block. */
final class SimulatedPrefixCache {
    /** The hashes of the cached blocks, as keys in access order; the values have no meaning. */
    private final Map<Long, Boolean> cachedHashes = new LinkedHashMap<>(16, 0.75f, true);

    private final List<PrefixIndex.Event> events = new ArrayList<>();
    private int limitBlocks;
    private long nextSequence;

    SimulatedPrefixCache(int limitBlocks) {
        this.limitBlocks = limitBlocks;
    }

    /** Returns the number of cached blocks at the start of a prompt and marks them as used. */
    int countHitsAndTouch(List<Long> prefixHashes) {
        int count = 0;
        while (count < prefixHashes.size() && cachedHashes.get(prefixHashes.get(count)) != null) {
            count++;
        }
        return count;
    }

    /** Returns the number of cached blocks at the start of a prompt, without marking them as used. */
    int countCached(List<Long> prefixHashes) {
        int count = 0;
        while (count < prefixHashes.size() && cachedHashes.containsKey(prefixHashes.get(count))) {
            count++;
        }
        return count;
    }

    void store(List<Long> prefixHashes) {
        for (Long hash : prefixHashes) {
            if (cachedHashes.put(hash, true) == null) {
                emit(PrefixIndex.EventKind.STORED, hash);
            }
        }
        evictToLimit();
    }

    void setLimitBlocks(int newLimitBlocks) {
        limitBlocks = Math.max(0, newLimitBlocks);
        evictToLimit();
    }

    void clear() {
        cachedHashes.clear();
        emit(PrefixIndex.EventKind.CLEARED, 0);
    }

    private void evictToLimit() {
        for (Iterator<Long> leastRecentlyUsed = cachedHashes.keySet().iterator();
                cachedHashes.size() > limitBlocks && leastRecentlyUsed.hasNext(); ) {
            long hash = leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
            emit(PrefixIndex.EventKind.EVICTED, hash);
        }
    }

    private void emit(PrefixIndex.EventKind kind, long hash) {
        events.add(new PrefixIndex.Event(nextSequence++, kind, hash));
    }

    /** Returns and removes the events since the last call. */
    List<PrefixIndex.Event> drainEvents() {
        List<PrefixIndex.Event> drained = List.copyOf(events);
        events.clear();
        return drained;
    }
}
