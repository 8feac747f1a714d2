package org.cactusshift.internal.coordination.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cactusshift.messages.RecordedOutcome;

/**
 * The outcomes and withdrawals of this node's claims in one shard that the holder has not yet confirmed as durable.
 *
 * <p>They are sent repeatedly until the holder confirms them. Beyond a limit the oldest are dropped, and all are lost
 * when the process ends. The claims then stay open, which is safe: a repeated call receives the
 * answer that its outcome is unknown.
 *
 * <p>Thread-safe.
 */
final class ClaimResolutions {
    private static final int MAXIMUM_WAITING = 10_000;
    private static final int MAXIMUM_BATCH = 64;

    private final Deque<RecordedOutcome> waiting = new ArrayDeque<>();

    synchronized void add(RecordedOutcome resolution) {
        waiting.addLast(resolution);
        if (waiting.size() > MAXIMUM_WAITING) {
            waiting.removeFirst();
        }
    }

    synchronized List<RecordedOutcome> nextBatch() {
        return waiting.stream().limit(MAXIMUM_BATCH).toList();
    }

    synchronized void onDurable(List<RecordedOutcome> durable) {
        new ArrayList<>(durable).forEach(waiting::remove);
    }

    synchronized boolean isEmpty() {
        return waiting.isEmpty();
    }
}
