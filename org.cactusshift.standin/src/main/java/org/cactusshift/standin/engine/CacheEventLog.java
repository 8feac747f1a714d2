package org.cactusshift.standin.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * The cache events of an engine, published after a lag. Injects losses: drops every {@code lostEventInterval}-th event,
 * or none if that is 0, which leaves a gap in the sequence numbers. Not thread-safe.
 */
final class CacheEventLog {
    /** The number of events that are retained; a further one replaces the oldest, which also leaves a gap. */
    private static final int MAXIMUM_EVENTS = 10_000;

    private final long lagMillis;

    private final int lostEventInterval;

    private final List<CacheEvent> events = new ArrayList<>();

    private long lastSequence;

    CacheEventLog(long lagMillis, int lostEventInterval) {
        this.lagMillis = lagMillis;
        this.lostEventInterval = lostEventInterval;
    }

    /** Adds an event, unless it is one of those that are lost. */
    void add(Kind kind, long prefixHash, long nowMillis) {
        lastSequence++;
        if (lostEventInterval > 0 && lastSequence % lostEventInterval == 0) {
            return;
        }
        if (events.size() == MAXIMUM_EVENTS) {
            events.remove(0);
        }
        events.add(new CacheEvent(lastSequence, kind, prefixHash, nowMillis));
    }

    /** Returns the events after a sequence number that are old enough to be published. */
    List<CacheEvent> publishedAfter(long sequence, long nowMillis) {
        return events.stream()
                .filter(event -> event.sequence() > sequence && event.addedAtMillis() + lagMillis <= nowMillis)
                .toList();
    }

    /** The kind of a cache event. */
    enum Kind {
        STORED,
        EVICTED,
        CLEARED
    }

    /**
     * A cache event.
     *
     * @param sequence the sequence number, from 1
     * @param kind the kind
     * @param prefixHash the hash of the prefix; 0 when the whole cache was cleared
     * @param addedAtMillis the monotonic time of the event, in milliseconds
     */
    record CacheEvent(long sequence, Kind kind, long prefixHash, long addedAtMillis) {}
}
