package org.cactusshift.internal.coordination.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects the upstream with the fewest open attempts of this node; ties are broken at random. */
public final class LeastOutstandingRouting implements RoutingPolicy {
    private LeastOutstandingRouting() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static LeastOutstandingRouting create() {
        return new LeastOutstandingRouting();
    }

    @Override
    public Optional<RoutingDecision> choose(FleetView fleet, RouteQuery query, long nowMillis, RandomGenerator random) {
        List<UpstreamState> allowed = fleet.upstreams().stream()
                .filter(upstream -> query.allows(upstream, nowMillis))
                .toList();
        return leastOutstanding(allowed, random).map(RoutingDecision::withoutCosts);
    }

    static Optional<UpstreamState> leastOutstanding(List<UpstreamState> allowed, RandomGenerator random) {
        if (allowed.isEmpty()) {
            return Optional.empty();
        }
        int least = allowed.stream().mapToInt(UpstreamState::inFlight).min().orElseThrow();
        List<UpstreamState> tied = allowed.stream()
                .filter(upstream -> upstream.inFlight() == least)
                .toList();
        return Optional.of(tied.get(random.nextInt(tied.size())));
    }
}
