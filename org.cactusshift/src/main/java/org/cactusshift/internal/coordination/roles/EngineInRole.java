package org.cactusshift.internal.coordination.roles;

import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * An engine as role planning sees it.
 *
 * @param id the engine
 * @param failureDomain where it runs
 * @param role the role that it is in, or is changing to
 * @param changing whether a change is going on
 * @param inRoleSinceMillis when it took the role
 */
public record EngineInRole(
        UpstreamId id,
        FailureDomainId failureDomain,
        UpstreamConfig.Role role,
        boolean changing,
        long inRoleSinceMillis) {}
