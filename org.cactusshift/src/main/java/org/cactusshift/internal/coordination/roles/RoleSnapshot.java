package org.cactusshift.internal.coordination.roles;

import java.util.List;

/**
 * The input of role planning.
 *
 * @param engines the serving engines of one model
 * @param fast the demand averaged over about half a minute
 * @param slow the demand averaged over several minutes
 * @param rates the processing rates of one engine
 */
public record RoleSnapshot(List<EngineInRole> engines, TokenDemand fast, TokenDemand slow, EngineRates rates) {
    /** Copies the list. */
    public RoleSnapshot {
        engines = List.copyOf(engines);
    }
}
