package org.cactusshift.internal.coordination.capacity;

import java.util.List;
import java.util.Set;
import org.cactusshift.config.FailureDomainConfig;
import org.cactusshift.id.FailureDomainId;

/**
 * What capacity planning decides on, for one service.
 *
 * @param upstreams the upstreams that serve or are on order
 * @param failureDomains the failure domains with their bounds
 * @param unavailableReclaimable failure domains that now have no reclaimable upstreams
 * @param unavailableOnDemand failure domains that now have no other upstreams either
 * @param neededUpstreams the upstreams that the demand needs
 * @param protectedUpstreams the upstreams needed for work that must not be lost
 * @param terms prices and times
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
