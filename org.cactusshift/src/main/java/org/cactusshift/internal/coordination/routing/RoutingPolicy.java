package org.cactusshift.internal.coordination.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the upstream of a request. An implementation may keep state; its owner calls it under one lock. */
public interface RoutingPolicy {
    /**
     * Chooses an upstream.
     *
     * @param fleet the upstreams as this node sees them
     * @param query the request
     * @param nowMillis the present time
     * @param random the source of random choices
     * @return the route, or empty when the request has to wait
     */
    Optional<Route> choose(FleetView fleet, RouteQuery query, long nowMillis, RandomGenerator random);
}
