package org.cactusshift.internal.coordination.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cactusshift.id.UpstreamId;

/**
 * Hints on which prompt prefixes an engine holds.
 *
 * <p>Fed by what this node sent and by the engines' cache events, which are late and have gaps: after a gap the hints
 * from events are dropped, and those from own sends stay. A wrong hint costs time, never correctness. Bounded in size;
 * the prefix unused for longest is forgotten first.
 */
public final class PrefixIndex {
    private static final int MAXIMUM_HOLDERS = 8;

    private final Map<Long, Set<Hint>> holders;
    private final Map<UpstreamId, Long> sequences = new HashMap<>();

    private PrefixIndex(int maximumPrefixes) {
        holders = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Set<Hint>> eldest) {
                return size() > maximumPrefixes;
            }
        };
    }

    private record Hint(UpstreamId upstream, boolean ownSend) implements Comparable<Hint> {
        @Override
        public int compareTo(Hint other) {
            int order = upstream.compareTo(other.upstream);
            return order != 0 ? order : Boolean.compare(ownSend, other.ownSend);
        }
    }

    /** The kind of a cache event. */
    public enum EventKind {
        /** The prefix is now held. */
        STORED,
        /** The prefix is no longer held. */
        EVICTED,
        /** Nothing is held any more. */
        CLEARED
    }

    /**
     * A cache event of an engine.
     *
     * @param sequence the number of the event, without gaps at its source
     * @param kind the kind
     * @param prefixHash the prefix; 0 for {@link EventKind#CLEARED}
     */
    public record Event(long sequence, EventKind kind, long prefixHash) {}

    /**
     * Returns an empty index.
     *
     * @param maximumPrefixes the most prefixes to remember, above 0
     * @return the index
     */
    public static PrefixIndex create(int maximumPrefixes) {
        return new PrefixIndex(maximumPrefixes);
    }

    /**
     * Notes that a prompt was sent to an engine.
     *
     * @param upstream the engine
     * @param prefixHashes the hashes of its prefixes
     */
    public void onSend(UpstreamId upstream, List<Long> prefixHashes) {
        prefixHashes.forEach(prefix -> add(prefix, new Hint(upstream, true)));
    }

    /**
     * Takes an event of an engine.
     *
     * @param upstream the engine
     * @param event the event; one that was seen before is ignored
     */
    public void onEvent(UpstreamId upstream, Event event) {
        long last = sequences.getOrDefault(upstream, event.sequence() - 1);
        if (event.sequence() <= last) {
            return;
        }
        if (event.sequence() != last + 1) {
            remove(upstream, false);
        }
        sequences.put(upstream, event.sequence());
        switch (event.kind()) {
            case STORED:
                add(event.prefixHash(), new Hint(upstream, false));
                break;
            case EVICTED:
                Set<Hint> hints = holders.get(event.prefixHash());
                if (hints != null) {
                    hints.removeIf(hint -> hint.upstream().equals(upstream));
                }
                break;
            case CLEARED:
                removeEngine(upstream);
                break;
            default:
                throw new IllegalStateException("unknown event kind " + event.kind());
        }
    }

    /**
     * Forgets all hints on an engine, after it restarted or left.
     *
     * @param upstream the engine
     */
    public void removeEngine(UpstreamId upstream) {
        remove(upstream, true);
    }

    /**
     * Returns how many pieces of a prompt each engine holds.
     *
     * @param prefixHashes the hashes of the prompt's prefixes of 1, 2, ... pieces
     * @return pieces by engine; engines that hold none are left out
     */
    public Map<UpstreamId, Integer> cachedBlocks(List<Long> prefixHashes) {
        if (prefixHashes.isEmpty()) {
            return Map.of();
        }
        Map<UpstreamId, Integer> pieces = new HashMap<>();
        for (int i = 0; i < prefixHashes.size(); i++) {
            Set<Hint> hints = holders.get(prefixHashes.get(i));
            if (hints == null || hints.isEmpty()) {
                break;
            }
            int count = i + 1;
            hints.forEach(hint -> pieces.put(hint.upstream(), count));
        }
        return pieces;
    }

    private void add(long prefix, Hint hint) {
        Set<Hint> hints = holders.computeIfAbsent(prefix, key -> new TreeSet<>());
        if (hints.size() < MAXIMUM_HOLDERS) {
            hints.add(hint);
        }
    }

    private void remove(UpstreamId upstream, boolean ownSendsToo) {
        holders.values()
                .forEach(hints ->
                        hints.removeIf(hint -> hint.upstream().equals(upstream) && (ownSendsToo || !hint.ownSend())));
    }
}
