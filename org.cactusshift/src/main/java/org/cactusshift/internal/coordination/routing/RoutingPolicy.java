package org.cactusshift.internal.coordination.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream of a request. An implementation may have state; its owner makes all calls under the same lock.
 */
public interface RoutingPolicy {
    /**
     * Chooses an upstream.
     *
     * @param fleet the state of the upstreams, as known to this node
     * @param query the request
     * @param nowMillis the current time
     * @param random the source of random choices
     * @return the decision, or empty when the request has to be queued
     */
    Optional<RoutingDecision> choose(FleetView fleet, RouteQuery query, long nowMillis, RandomGenerator random);
}
