package org.cactusshift.internal.coordination.roles;

import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * An engine with its current role, as input of role planning.
 *
 * @param id the engine
 * @param failureDomain the failure domain that it runs in
 * @param role its role; the former one while a change is in progress
 * @param changing whether a role change is in progress
 * @param inRoleSinceMillis when its last role change ended, 0 when there was none
 */
public record EngineInRole(
        UpstreamId id,
        FailureDomainId failureDomain,
        UpstreamConfig.Role role,
        boolean changing,
        long inRoleSinceMillis) {}
