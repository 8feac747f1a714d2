package org.cactusshift.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** The cache events of an engine, published with a lag and with lost events; not thread-safe. */
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

    /** Adds an event, unless it is one of those that are lost. */
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
     * @param prefix the hash of the prefix; 0 when the whole cache was cleared
     * @param addedAtMillis the monotonic time of the event, in milliseconds
     */
    record CacheEvent(long sequence, Kind kind, long prefix, long addedAtMillis) {}
}
