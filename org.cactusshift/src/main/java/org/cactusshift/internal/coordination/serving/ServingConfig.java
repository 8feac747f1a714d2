package org.cactusshift.internal.coordination.serving;

import java.util.Map;
import java.util.Optional;
import org.cactusshift.id.ServiceId;

/**
 * The relay's view of a version of the configuration.
 *
 * @param version the version; a higher one is newer
 * @param routes the routes
 * @param services the services by id
 * @param limits the limits for callers
 * @param keyOwners the client accounts by key; empty when the site uses no keys
 */
public record ServingConfig(
        long version,
        RouteTable routes,
        Map<ServiceId, ServedService> services,
        CallerLimits limits,
        Optional<Map<String, KeyOwner>> keyOwners) {
    /** Copies the maps. */
    public ServingConfig {
        services = Map.copyOf(services);
        keyOwners = keyOwners.map(Map::copyOf);
    }
}
