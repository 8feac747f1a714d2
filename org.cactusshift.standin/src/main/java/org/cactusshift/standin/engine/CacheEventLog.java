package org.cactusshift.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** The cache events of an engine, published late and with gaps; not safe for use by several threads. */
final class CacheEventLog {
    private static final int MAXIMUM_EVENTS = 10_000;

    private final long lagMillis;

    private final int lostEventInterval;

    private final List<CacheEvent> events = new ArrayList<>();

    private long lastSequence;

    CacheEventLog(long lagMillis, int gapEvery) {
        this.lagMillis = lagMillis;
        this.lostEventInterval = gapEvery;
    }

    /** Adds an event, unless it is one that gets lost. */
    void add(Kind kind, long prefix, long nowMillis) {
        lastSequence++;
        if (lostEventInterval > 0 && lastSequence % lostEventInterval == 0) {
            return;
        }
        if (events.size() == MAXIMUM_EVENTS) {
            events.remove(0);
        }
        events.add(new CacheEvent(lastSequence, kind, prefix, nowMillis));
    }

    /** Returns the events after a sequence number that are old enough to be published. */
    List<CacheEvent> after(long sequence, long nowMillis) {
        return events.stream()
                .filter(event -> event.sequence() > sequence && event.addedAtMillis() + lagMillis <= nowMillis)
                .toList();
    }

    /** What happened to a prefix. */
    enum Kind {
        STORED,
        EVICTED,
        CLEARED
    }

    /**
     * One event.
     *
     * @param sequence its number, from 1
     * @param kind what happened
     * @param prefix the hash of the prefix; 0 when the whole cache was cleared
     * @param addedAtMillis when it happened, in milliseconds
     */
    record CacheEvent(long sequence, Kind kind, long prefix, long addedAtMillis) {}
}
