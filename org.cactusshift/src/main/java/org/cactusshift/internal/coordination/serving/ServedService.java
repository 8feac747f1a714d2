package org.cactusshift.internal.coordination.serving;

import java.util.Optional;
import org.cactusshift.id.ServiceId;

/**
 * A service whose upstreams take requests.
 *
 * @param id the service
 * @param healthPath the path of the health check
 * @param maximumConnections the most connections that one upstream accepts from all nodes
 * @param engine what its model engines can do, empty for a plain service
 * @param capacity the rule for ordering, empty when the fleet is fixed
 */
public record ServedService(
        ServiceId id,
        String healthPath,
        int maximumConnections,
        Optional<EngineCapabilities> engine,
        Optional<CapacityRule> capacity) {}
