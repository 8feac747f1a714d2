package org.cactusshift.internal.coordination.roles;

import java.util.List;

/**
 * What role planning decides on.
 *
 * @param engines the engines of one model that serve
 * @param fast the demand over about half a minute
 * @param slow the demand over several minutes
 * @param rates what one engine can do
 */
public record RoleSnapshot(List<EngineInRole> engines, TokenDemand fast, TokenDemand slow, EngineRates rates) {
    /** Copies the list. */
    public RoleSnapshot {
        engines = List.copyOf(engines);
    }
}
