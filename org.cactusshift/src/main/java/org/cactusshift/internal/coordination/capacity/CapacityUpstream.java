package org.cactusshift.internal.coordination.capacity;

import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * An upstream that serves, or one that was ordered and has not come.
 *
 * @param id the upstream; empty while it is on order
 * @param failureDomain where it runs or will run
 * @param reclaimable whether the platform may take it back
 */
public record CapacityUpstream(Optional<UpstreamId> id, FailureDomainId failureDomain, boolean reclaimable) {}
