package org.cactusshift.internal.coordination.serving;

import java.util.Set;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * A request that needs an upstream.
 *
 * @param request the request
 * @param domain the failure domain of this node
 * @param excluded upstreams that this request has tried
 * @param maySplitPrefill whether the prompt may be read at one engine and the output made at another
 */
public record PlacementQuery(
        ServingRequest request, FailureDomainId domain, Set<UpstreamId> excluded, boolean maySplitPrefill) {}
