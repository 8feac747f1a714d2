package org.cactusshift.internal.coordination.serving;

import java.util.Map;
import java.util.Optional;
import org.cactusshift.id.ServiceId;

/**
 * A version of the configuration, ready for use.
 *
 * @param version the version; a greater one is newer
 * @param routes the routes
 * @param services the services by id
 * @param limits what callers may send
 * @param keyOwners the holders of keys; empty where the site uses no keys
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
