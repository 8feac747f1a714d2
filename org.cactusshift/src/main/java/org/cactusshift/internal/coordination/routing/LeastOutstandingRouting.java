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
    public Optional<Route> choose(FleetView fleet, RouteQuery query, long nowMillis, RandomGenerator random) {
        List<UpstreamState> open = fleet.upstreams().stream()
                .filter(upstream -> query.allows(upstream, nowMillis))
                .toList();
        return leastOutstanding(open, random).map(Route::withoutCosts);
    }

    static Optional<UpstreamState> leastOutstanding(List<UpstreamState> open, RandomGenerator random) {
        if (open.isEmpty()) {
            return Optional.empty();
        }
        int least = open.stream().mapToInt(UpstreamState::inFlight).min().orElseThrow();
        List<UpstreamState> tied =
                open.stream().filter(upstream -> upstream.inFlight() == least).toList();
        return Optional.of(tied.get(random.nextInt(tied.size())));
    }
}
