package org.cactusshift.internal.coordination.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cactusshift.config.UpstreamConfig;

/**
 * Uses an engine in the prefill role for the prompt and one in the decode role for the output, each with the fewest
 * open attempts of this node; mixed engines are used when one of the two roles has no available engine, and any
 * available engine when there is no mixed one.
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
    public Optional<RoutingDecision> choose(FleetView fleet, RouteQuery query, long nowMillis, RandomGenerator random) {
        List<UpstreamState> allowed = fleet.upstreams().stream()
                .filter(upstream -> query.allows(upstream, nowMillis))
                .toList();
        Optional<UpstreamState> prefill = leastOutstandingInRole(allowed, UpstreamConfig.Role.PREFILL, random);
        Optional<UpstreamState> decode = leastOutstandingInRole(allowed, UpstreamConfig.Role.DECODE, random);
        if (prefill.isPresent() && decode.isPresent()) {
            return Optional.of(RoutingDecision.withoutCosts(decode.get(), prefill));
        }
        return leastOutstandingInRole(allowed, UpstreamConfig.Role.MIXED, random)
                .or(() -> LeastOutstandingRouting.leastOutstanding(allowed, random))
                .map(RoutingDecision::withoutCosts);
    }

    private static Optional<UpstreamState> leastOutstandingInRole(
            List<UpstreamState> allowed, UpstreamConfig.Role role, RandomGenerator random) {
        List<UpstreamState> inRole =
                allowed.stream().filter(upstream -> upstream.role() == role).toList();
        return LeastOutstandingRouting.leastOutstanding(inRole, random);
    }
}
