package org.cactusshift.internal.coordination.routing;

import java.util.List;
import java.util.Optional;

/**
 * Where a request goes, and what was weighed.
 *
 * @param upstream the chosen upstream
 * @param prefill the engine that processes the prompt first, or empty
 * @param chosen the chosen upstream's costs
 * @param candidates all upstreams that were weighed
 */
public record Route(
        UpstreamState upstream, Optional<UpstreamState> prefill, Candidate chosen, List<Candidate> candidates) {
    /** Copies the list. */
    public Route {
        candidates = List.copyOf(candidates);
    }

    /**
     * Returns a route of a policy that computes no costs.
     *
     * @param upstream the chosen upstream
     * @return the route
     */
    public static Route withoutCosts(UpstreamState upstream) {
        return withoutCosts(upstream, Optional.empty());
    }

    /**
     * Returns a route over two engines, of a policy that computes no costs.
     *
     * @param upstream the chosen upstream
     * @param prefill the engine that processes the prompt first, or empty
     * @return the route
     */
    public static Route withoutCosts(UpstreamState upstream, Optional<UpstreamState> prefill) {
        Candidate chosen = new Candidate(upstream.id(), 0, 0, 0, 0, true, prefill.map(UpstreamState::id));
        return new Route(upstream, prefill, chosen, List.of(chosen));
    }
}
