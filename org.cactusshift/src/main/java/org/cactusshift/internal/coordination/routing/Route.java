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
public record Route(
        UpstreamState upstream, Optional<UpstreamState> prefill, Candidate chosen, List<Candidate> candidates) {
    /** Copies the list. */
    public Route {
        candidates = List.copyOf(candidates);
    }

    /**
     * Returns a route for a policy that computes no costs; the times and the cost of its candidate are 0.
     *
     * @param upstream the chosen upstream
     * @return the route
     */
    public static Route withoutCosts(UpstreamState upstream) {
        return withoutCosts(upstream, Optional.empty());
    }

    /**
     * Returns a route with a separate prefill engine, for a policy that computes no costs; the times and the cost of
     * its candidate are 0.
     *
     * @param upstream the chosen upstream
     * @param prefill the engine that prefills the prompt; empty when the chosen upstream does
     * @return the route
     */
    public static Route withoutCosts(UpstreamState upstream, Optional<UpstreamState> prefill) {
        Candidate chosen = new Candidate(upstream.id(), 0, 0, 0, 0, true, prefill.map(UpstreamState::id));
        return new Route(upstream, prefill, chosen, List.of(chosen));
    }
}
