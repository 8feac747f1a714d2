package org.cactusshift.internal.coordination.roles;

import java.util.List;

/** Never changes a role: every engine stays in its configured role. */
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
