package org.cactusshift.internal.coordination.serving;

import java.util.Map;
import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.quota.AccountQuota;

/**
 * The part of one configuration version that the relay uses.
 *
 * @param version the version; a higher one is newer
 * @param routes the routes
 * @param services the services by id
 * @param limits the limits for callers
 * @param keyOwners the owners of the API keys, by key; empty when requests need no key
 * @param quotas the quotas of the limited client accounts
 */
public record ServingConfig(
        long version,
        RouteTable routes,
        Map<ServiceId, ServedService> services,
        CallerLimits limits,
        Optional<Map<String, KeyOwner>> keyOwners,
        Map<AccountId, AccountQuota> quotas) {
    /** Copies the maps. */
    public ServingConfig {
        services = Map.copyOf(services);
        keyOwners = keyOwners.map(Map::copyOf);
        quotas = Map.copyOf(quotas);
    }
}
