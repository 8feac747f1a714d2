package org.cactusshift.internal.coordination.roles;

import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;

/**
 * A planned role change of an engine; the engine is drained first.
 *
 * @param engine the engine
 * @param role the new role
 * @param expectedGainEngineSeconds the expected gain of the change over the planning horizon, less its cost, in seconds
 *     of one engine's work; 0 when the planner computes none
 */
public record RoleChange(UpstreamId engine, UpstreamConfig.Role role, double expectedGainEngineSeconds) {}
