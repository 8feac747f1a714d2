package org.cactusshift.internal.coordination.capacity;

import java.util.List;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * What should be ordered and released.
 *
 * @param orders the orders, of one upstream each
 * @param releases the upstreams to be drained and given back
 */
public record CapacityPlan(List<Order> orders, List<UpstreamId> releases) {
    /** Copies the lists. */
    public CapacityPlan {
        orders = List.copyOf(orders);
        releases = List.copyOf(releases);
    }

    /**
     * An order of one upstream.
     *
     * @param failureDomain where
     * @param reclaimable whether the platform may take it back
     */
    public record Order(FailureDomainId failureDomain, boolean reclaimable) {}
}
