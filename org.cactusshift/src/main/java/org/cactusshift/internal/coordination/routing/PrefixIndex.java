package org.cactusshift.internal.coordination.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cactusshift.id.UpstreamId;

/**
 * Index of the engines that probably have a prompt prefix cached.
 *
 * <p>A prefix consists of whole blocks and is identified by a hash of all of them. The hints come from the prompts that
 * this node sent and from the cache events of the engines, which are delayed and have gaps: after a gap the hints from
 * events are dropped, while those from sent prompts stay. A wrong hint costs time, never correctness. The size is
 * bounded; the least recently used prefix is evicted first.
 */
public final class PrefixIndex {
    /** The maximum number of hints per prefix; further ones are not recorded. */
    private static final int MAXIMUM_HINTS_PER_PREFIX = 8;

    private final Map<Long, Set<Hint>> hintsByPrefix;
    private final Map<UpstreamId, Long> lastSequenceByEngine = new HashMap<>();

    private PrefixIndex(int maximumPrefixes) {
        // In access order, so that the eldest entry is the least recently used one.
        hintsByPrefix = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Set<Hint>> eldest) {
                return size() > maximumPrefixes;
            }
        };
    }

    private record Hint(UpstreamId engine, boolean fromSentPrompt) implements Comparable<Hint> {
        @Override
        public int compareTo(Hint other) {
            int order = engine.compareTo(other.engine);
            return order != 0 ? order : Boolean.compare(fromSentPrompt, other.fromSentPrompt);
        }
    }

    /** The kind of a cache event. */
    public enum EventKind {
        /** The prefix was added to the cache. */
        STORED,
        /** The prefix was evicted from the cache. */
        EVICTED,
        /** The whole cache was cleared. */
        CLEARED
    }

    /**
     * A cache event of an engine.
     *
     * @param sequence the sequence number of the event, consecutive at its source
     * @param kind the kind
     * @param prefixHash the prefix; 0 for {@link EventKind#CLEARED}
     */
    public record Event(long sequence, EventKind kind, long prefixHash) {}

    /**
     * Returns an empty index.
     *
     * @param maximumPrefixes the maximum number of prefixes, above 0
     * @return the index
     */
    public static PrefixIndex create(int maximumPrefixes) {
        return new PrefixIndex(maximumPrefixes);
    }

    /**
     * Records that a prompt was sent to an engine.
     *
     * @param engine the engine
     * @param prefixHashes the hashes of its prefixes
     */
    public void onSend(UpstreamId engine, List<Long> prefixHashes) {
        prefixHashes.forEach(prefix -> add(prefix, new Hint(engine, true)));
    }

    /**
     * Processes a cache event of an engine.
     *
     * @param engine the engine
     * @param event the event; one that was processed before is ignored
     */
    public void onEvent(UpstreamId engine, Event event) {
        long last = lastSequenceByEngine.getOrDefault(engine, event.sequence() - 1);
        if (event.sequence() <= last) {
            return;
        }
        if (event.sequence() != last + 1) {
            removeHints(engine, false);
        }
        lastSequenceByEngine.put(engine, event.sequence());
        switch (event.kind()) {
            case STORED:
                add(event.prefixHash(), new Hint(engine, false));
                break;
            case EVICTED:
                Set<Hint> hints = hintsByPrefix.get(event.prefixHash());
                if (hints != null) {
                    hints.removeIf(hint -> hint.engine().equals(engine));
                }
                break;
            case CLEARED:
                removeEngine(engine);
                break;
            default:
                throw new IllegalStateException("unknown event kind " + event.kind());
        }
    }

    /**
     * Removes all hints for an engine, after it restarted or left.
     *
     * @param engine the engine
     */
    public void removeEngine(UpstreamId engine) {
        removeHints(engine, true);
    }

    /**
     * Returns, for each engine, the length of the longest prefix of a prompt that it probably has cached. Prefixes
     * beyond the first one without any hint are not considered.
     *
     * @param prefixHashes the hashes of the prompt's prefixes of 1, 2, ... blocks
     * @return the number of blocks by engine; engines without any are omitted
     */
    public Map<UpstreamId, Integer> cachedBlocks(List<Long> prefixHashes) {
        if (prefixHashes.isEmpty()) {
            return Map.of();
        }
        Map<UpstreamId, Integer> blocksByEngine = new HashMap<>();
        for (int i = 0; i < prefixHashes.size(); i++) {
            Set<Hint> hints = hintsByPrefix.get(prefixHashes.get(i));
            if (hints == null || hints.isEmpty()) {
                break;
            }
            int count = i + 1;
            hints.forEach(hint -> blocksByEngine.put(hint.engine(), count));
        }
        return blocksByEngine;
    }

    private void add(long prefix, Hint hint) {
        Set<Hint> hints = hintsByPrefix.computeIfAbsent(prefix, key -> new TreeSet<>());
        if (hints.size() < MAXIMUM_HINTS_PER_PREFIX) {
            hints.add(hint);
        }
    }

    private void removeHints(UpstreamId engine, boolean includeSentPrompts) {
        hintsByPrefix
                .values()
                .forEach(hints -> hints.removeIf(
                        hint -> hint.engine().equals(engine) && (includeSentPrompts || !hint.fromSentPrompt())));
    }
}
