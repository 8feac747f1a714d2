package org.cactusshift.internal.coordination.routing;

import java.util.List;
import java.util.Optional;

/**
 * The upstreams chosen for a request, with the evaluated candidates.
 *
 * @param upstream the chosen upstream
 * @param prefill the engine that prefills the prompt; empty when the chosen upstream does
 * @param chosen the evaluation of the chosen upstream
 * @param candidates all evaluated upstreams
 */
public record RoutingDecision(
        UpstreamState upstream, Optional<UpstreamState> prefill, Candidate chosen, List<Candidate> candidates) {
    /** Copies the list. */
    public RoutingDecision {
        candidates = List.copyOf(candidates);
    }

    /**
     * Returns a decision for a policy that computes no costs; the times and the cost of its candidate are 0.
     *
     * @param upstream the chosen upstream
     * @return the decision
     */
    public static RoutingDecision withoutCosts(UpstreamState upstream) {
        return withoutCosts(upstream, Optional.empty());
    }

    /**
     * Returns a decision with a separate prefill engine, for a policy that computes no costs; the times and the cost of
     * its candidate are 0.
     *
     * @param upstream the chosen upstream
     * @param prefill the engine that prefills the prompt; empty when the chosen upstream does
     * @return the decision
     */
    public static RoutingDecision withoutCosts(UpstreamState upstream, Optional<UpstreamState> prefill) {
        Candidate chosen = new Candidate(upstream.id(), 0, 0, 0, 0, true, prefill.map(UpstreamState::id));
        return new RoutingDecision(upstream, prefill, chosen, List.of(chosen));
    }
}
