package org.cactusshift.internal.coordination.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cactusshift.config.UpstreamConfig;

/**
 * Sends each prompt to an engine in the prefill role and its output to one in the decode role, each by the fewest
 * attempts of this node; engines in neither role serve when one of the parts is missing.
 */
public final class FixedRolesRouting implements RoutingPolicy {
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
        List<UpstreamState> open = fleet.upstreams().stream()
                .filter(upstream -> query.allows(upstream, nowMillis))
                .toList();
        Optional<UpstreamState> prefill = least(open, UpstreamConfig.Role.PREFILL, random);
        Optional<UpstreamState> decode = least(open, UpstreamConfig.Role.DECODE, random);
        if (prefill.isPresent() && decode.isPresent()) {
            return Optional.of(Route.withoutCosts(decode.get(), prefill));
        }
        return least(open, UpstreamConfig.Role.MIXED, random)
                .or(() -> LeastOutstandingRouting.leastOutstanding(open, random))
                .map(Route::withoutCosts);
    }

    private static Optional<UpstreamState> least(
            List<UpstreamState> open, UpstreamConfig.Role role, RandomGenerator random) {
        List<UpstreamState> part =
                open.stream().filter(upstream -> upstream.role() == role).toList();
        return LeastOutstandingRouting.leastOutstanding(part, random);
    }
}
