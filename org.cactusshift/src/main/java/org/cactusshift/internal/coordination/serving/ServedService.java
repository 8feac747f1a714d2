package org.cactusshift.internal.coordination.serving;

import java.util.Optional;
import org.cactusshift.id.ServiceId;

/**
 * A service that requests are relayed to.
 *
 * @param id the service
 * @param healthPath the path of the health check
 * @param maximumConnections the maximum number of connections to one upstream, over all nodes
 * @param engine the capabilities of its model engines, empty for a plain service
 * @param capacity the rule for ordering engines, empty when the fleet is fixed
 */
public record ServedService(
        ServiceId id,
        String healthPath,
        int maximumConnections,
        Optional<EngineCapabilities> engine,
        Optional<CapacityRule> capacity) {}
