package org.cactusshift.internal.coordination.routing;

import java.util.List;

/**
 * Where a request goes, and what was weighed.
 *
 * @param upstream the chosen upstream
 * @param chosen the chosen upstream's costs
 * @param candidates all upstreams that were weighed
 */
public record Route(UpstreamState upstream, Candidate chosen, List<Candidate> candidates) {
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
        Candidate chosen = new Candidate(upstream.id(), 0, 0, 0, true);
        return new Route(upstream, chosen, List.of(chosen));
    }
}
