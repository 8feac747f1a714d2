package org.cactusshift.internal.coordination.capacity;

import java.util.List;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * The upstreams to order and to release.
 *
 * @param orders the orders; each is for one upstream
 * @param releases the upstreams to drain and release
 */
public record CapacityPlan(List<Order> orders, List<UpstreamId> releases) {
    /** Copies the lists. */
    public CapacityPlan {
        orders = List.copyOf(orders);
        releases = List.copyOf(releases);
    }

    /**
     * An order for one upstream.
     *
     * @param failureDomain the failure domain
     * @param reclaimable whether the upstream is reclaimable
     */
    public record Order(FailureDomainId failureDomain, boolean reclaimable) {}
}
