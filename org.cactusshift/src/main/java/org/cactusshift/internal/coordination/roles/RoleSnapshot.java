package org.cactusshift.internal.coordination.roles;

import java.util.List;

/**
 * The input of role planning.
 *
 * @param engines the engines of one model that are not down
 * @param shortTermDemand the demand averaged over some tens of seconds
 * @param longTermDemand the demand averaged over minutes
 * @param rates the processing rates of one engine
 */
public record RoleSnapshot(
        List<EngineInRole> engines, TokenDemand shortTermDemand, TokenDemand longTermDemand, EngineRates rates) {
    /** Copies the list. */
    public RoleSnapshot {
        engines = List.copyOf(engines);
    }
}
