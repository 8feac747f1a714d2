package org.cactusshift.internal.coordination.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects the upstreams in turn, starting at a random one. */
public final class RoundRobinRouting implements RoutingPolicy {
    /** The index of the next upstream, modulo their number; negative before a random start was drawn. */
    private int next = -1;

    private RoundRobinRouting() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static RoundRobinRouting create() {
        return new RoundRobinRouting();
    }

    @Override
    public Optional<RoutingDecision> choose(FleetView fleet, RouteQuery query, long nowMillis, RandomGenerator random) {
        List<UpstreamState> all = fleet.upstreams();
        if (next < 0 && !all.isEmpty()) {
            next = random.nextInt(all.size());
        }
        for (int i = 0; i < all.size(); i++) {
            UpstreamState upstream = all.get(next++ % all.size());
            if (query.allows(upstream, nowMillis)) {
                return Optional.of(RoutingDecision.withoutCosts(upstream));
            }
        }
        return Optional.empty();
    }
}
