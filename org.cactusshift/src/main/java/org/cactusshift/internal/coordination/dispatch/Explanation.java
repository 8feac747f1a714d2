package org.cactusshift.internal.coordination.dispatch;

import java.util.List;
import org.cactusshift.internal.coordination.routing.Candidate;

/**
 * Why a decision was taken.
 *
 * @param atMillis when it was taken
 * @param decision the decision
 * @param candidates the upstreams that were weighed, with their costs; empty for a refusal
 * @param queuedRequests the requests that waited at this node then
 */
public record Explanation(long atMillis, DispatchDecision decision, List<Candidate> candidates, int queuedRequests) {
    /** Copies the list. */
    public Explanation {
        candidates = List.copyOf(candidates);
    }
}
