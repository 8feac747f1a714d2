package org.cactusshift.internal.coordination.roles;

import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * An engine with its current role, as input of role planning.
 *
 * @param id the engine
 * @param failureDomain the failure domain that it runs in
 * @param role its role, or the role that it is changing to
 * @param changing whether a role change is in progress
 * @param inRoleSinceMillis when it changed to the role
 */
public record EngineInRole(
        UpstreamId id,
        FailureDomainId failureDomain,
        UpstreamConfig.Role role,
        boolean changing,
        long inRoleSinceMillis) {}
