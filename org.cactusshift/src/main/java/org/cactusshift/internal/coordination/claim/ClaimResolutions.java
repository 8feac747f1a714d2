package org.cactusshift.internal.coordination.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cactusshift.messages.RecordedOutcome;

/**
 * Outcomes and withdrawals of this node's claims of one shard that their owner has not yet made durable.
 *
 * <p>They are sent again until the owner confirms them. The oldest are dropped beyond a bound, and all are lost with
 * the process; the claims concerned then stay open, which is safe: a repeat is told that the outcome is unknown.
 *
 * <p>Safe for use by several threads.
 */
final class ClaimResolutions {
    private static final int MAXIMUM_WAITING = 10_000;
    private static final int MAXIMUM_BATCH = 64;

    private final Deque<RecordedOutcome> waiting = new ArrayDeque<>();

    synchronized void add(RecordedOutcome settlement) {
        waiting.addLast(settlement);
        if (waiting.size() > MAXIMUM_WAITING) {
            waiting.removeFirst();
        }
    }

    synchronized List<RecordedOutcome> nextBatch() {
        return waiting.stream().limit(MAXIMUM_BATCH).toList();
    }

    synchronized void onDurable(List<RecordedOutcome> settled) {
        new ArrayList<>(settled).forEach(waiting::remove);
    }

    synchronized boolean isEmpty() {
        return waiting.isEmpty();
    }
}
