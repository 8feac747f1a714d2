package org.cactusshift.internal.coordination.dispatch;

import java.util.List;
import org.cactusshift.internal.coordination.routing.Candidate;

/**
 * A recorded decision with the data that it was based on.
 *
 * @param atMillis when the decision was made, monotonic
 * @param decision the decision
 * @param candidates the upstreams that were compared, with their costs; empty for a refusal
 * @param queuedRequests the number of requests queued at this node at that time
 */
public record Explanation(long atMillis, DispatchDecision decision, List<Candidate> candidates, int queuedRequests) {
    /** Makes defensive copies. */
    public Explanation {
        candidates = List.copyOf(candidates);
    }
}
