package org.cactusshift.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in the order of virtual time; actions at the same time run in the order in which they were added. An
 * action whose time is in the past runs at the current time.
 */
final class EventQueue {
    private static final long MICROS_PER_MILLI = 1_000;

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::atMicros).thenComparingLong(Entry::sequence));
    private long nowMicros;
    private long nextSequence;

    private record Entry(long atMicros, long sequence, Runnable action) {}

    long nowMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    void atMillis(long millis, Runnable action) {
        add(millis * MICROS_PER_MILLI, action);
    }

    void afterMillis(double millis, Runnable action) {
        add(nowMicros + Math.round(millis * MICROS_PER_MILLI), action);
    }

    private void add(long atMicros, Runnable action) {
        entries.add(new Entry(Math.max(nowMicros, atMicros), nextSequence++, action));
    }

    /** Runs all actions up to a time, inclusive. */
    void runUntilMillis(long endMillis) {
        while (!entries.isEmpty() && entries.peek().atMicros() <= endMillis * MICROS_PER_MILLI) {
            Entry entry = entries.poll();
            nowMicros = entry.atMicros();
            entry.action().run();
        }
    }
}
