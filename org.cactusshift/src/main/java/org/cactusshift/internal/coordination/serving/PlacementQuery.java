package org.cactusshift.internal.coordination.serving;

import java.util.Set;
import java.util.function.Predicate;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;

/**
 * A request that needs a placement.
 *
 * @param request the request
 * @param localDomain the failure domain of this node
 * @param excluded the upstreams that must not be chosen, such as those already tried for this request
 * @param softwareVersions the software versions among which is chosen
 * @param maySplitPrefill whether prefill and decode may run on different engines
 */
public record PlacementQuery(
        ServingRequest request,
        FailureDomainId localDomain,
        Set<UpstreamId> excluded,
        Predicate<SoftwareVersion> softwareVersions,
        boolean maySplitPrefill) {}
