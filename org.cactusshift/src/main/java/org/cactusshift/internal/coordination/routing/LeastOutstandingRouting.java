package org.cactusshift.internal.coordination.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Sends a request to the upstream with the fewest attempts of this node; equals are drawn at random. */
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
        List<UpstreamState> equals =
                open.stream().filter(upstream -> upstream.inFlight() == least).toList();
        return Optional.of(equals.get(random.nextInt(equals.size())));
    }
}
