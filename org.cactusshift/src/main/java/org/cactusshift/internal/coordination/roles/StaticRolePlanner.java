package org.cactusshift.internal.coordination.roles;

import java.util.List;

/** Leaves every engine in the role that it started with: all mixed, or a fixed split, as declared. */
public final class StaticRolePlanner implements RolePlanner {
    private StaticRolePlanner() {}

    /**
     * Returns the planner.
     *
     * @return the planner
     */
    public static StaticRolePlanner create() {
        return new StaticRolePlanner();
    }

    @Override
    public List<RoleChange> plan(RoleSnapshot snapshot, long nowMillis) {
        return List.of();
    }
}
