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
 * when the process ends. The claims then stay open, which is safe: a repeated call receives the response that its
 * outcome is unknown.
 *
 * <p>Thread-safe.
 */
final class ClaimResolutions {
    /** The maximum number of unconfirmed resolutions of one shard; beyond it, the oldest is dropped. */
    private static final int MAXIMUM_UNCONFIRMED = 10_000;
    /** The maximum number of resolutions that are sent to the holder at once. */
    private static final int MAXIMUM_BATCH_RESOLUTIONS = 64;

    private final Deque<RecordedOutcome> unconfirmed = new ArrayDeque<>();

    synchronized void add(RecordedOutcome resolution) {
        unconfirmed.addLast(resolution);
        if (unconfirmed.size() > MAXIMUM_UNCONFIRMED) {
            unconfirmed.removeFirst();
        }
    }

    /** Returns the oldest resolutions; they remain until {@link #onDurable}. */
    synchronized List<RecordedOutcome> peekBatch() {
        return unconfirmed.stream().limit(MAXIMUM_BATCH_RESOLUTIONS).toList();
    }

    synchronized void onDurable(List<RecordedOutcome> durable) {
        new ArrayList<>(durable).forEach(unconfirmed::remove);
    }

    synchronized boolean isEmpty() {
        return unconfirmed.isEmpty();
    }
}
