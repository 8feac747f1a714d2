package org.cactusshift.internal.coordination.capacity;

import java.util.List;
import java.util.Set;
import org.cactusshift.config.FailureDomainConfig;
import org.cactusshift.id.FailureDomainId;

/**
 * The input of capacity planning for one service.
 *
 * @param upstreams the upstreams that are serving or on order
 * @param failureDomains the failure domains with their limits
 * @param unavailableReclaimable the failure domains in which reclaimable upstreams are currently unavailable
 * @param unavailableOnDemand the failure domains in which on-demand upstreams are currently unavailable
 * @param neededUpstreams the possibly fractional number of upstreams that the demand needs, without headroom
 * @param protectedUpstreams the number of on-demand upstreams that must remain after the loss of any one failure
 *     domain, for work that must not be lost
 * @param terms the prices and times
 */
public record CapacitySnapshot(
        List<CapacityUpstream> upstreams,
        List<FailureDomainConfig> failureDomains,
        Set<FailureDomainId> unavailableReclaimable,
        Set<FailureDomainId> unavailableOnDemand,
        double neededUpstreams,
        double protectedUpstreams,
        CapacityTerms terms) {
    /** Copies the collections. */
    public CapacitySnapshot {
        upstreams = List.copyOf(upstreams);
        failureDomains = List.copyOf(failureDomains);
        unavailableReclaimable = Set.copyOf(unavailableReclaimable);
        unavailableOnDemand = Set.copyOf(unavailableOnDemand);
    }
}
