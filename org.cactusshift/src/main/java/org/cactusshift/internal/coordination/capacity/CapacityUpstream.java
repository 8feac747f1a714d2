package org.cactusshift.internal.coordination.capacity;

import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * An upstream that is serving or on order.
 *
 * @param id the id of the upstream; empty while it is on order or already being released
 * @param failureDomain the failure domain that it runs or will run in
 * @param reclaimable whether the platform may reclaim its capacity
 */
public record CapacityUpstream(Optional<UpstreamId> id, FailureDomainId failureDomain, boolean reclaimable) {}
