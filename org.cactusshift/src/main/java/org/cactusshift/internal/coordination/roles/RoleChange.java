package org.cactusshift.internal.coordination.roles;

import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;

/**
 * An engine that should change its role; it is drained first.
 *
 * @param engine the engine
 * @param role the role that it should take
 * @param expectedGainEngineSeconds the work that the change is expected to win over its horizon, less what it costs
 */
public record RoleChange(UpstreamId engine, UpstreamConfig.Role role, double expectedGainEngineSeconds) {}
