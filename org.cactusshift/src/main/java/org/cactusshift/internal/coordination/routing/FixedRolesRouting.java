package org.cactusshift.internal.coordination.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Splits the fleet once: a share of the upstreams takes the long prompts, the rest the brief ones; within each part the
 * fewest attempts of this node decide.
 */
public final class FixedRolesRouting implements RoutingPolicy {
    private static final long LONG_PROMPT_TOKENS = 2_048;
    private static final double LONG_PROMPT_SHARE = 0.5;

    private FixedRolesRouting() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static FixedRolesRouting create() {
        return new FixedRolesRouting();
    }

    @Override
    public Optional<Route> choose(FleetView fleet, RouteQuery query, long nowMillis, RandomGenerator random) {
        List<UpstreamState> all = fleet.upstreams();
        int split = (int) Math.ceil(all.size() * LONG_PROMPT_SHARE);
        boolean isLong = query.promptTokens() >= LONG_PROMPT_TOKENS;
        List<UpstreamState> part = isLong ? all.subList(0, split) : all.subList(split, all.size());
        return LeastOutstandingRouting.leastOutstanding(open(part, query, nowMillis), random)
                .or(() -> LeastOutstandingRouting.leastOutstanding(open(all, query, nowMillis), random))
                .map(Route::withoutCosts);
    }

    private static List<UpstreamState> open(List<UpstreamState> part, RouteQuery query, long nowMillis) {
        return part.stream()
                .filter(upstream -> query.allows(upstream, nowMillis))
                .toList();
    }
}
