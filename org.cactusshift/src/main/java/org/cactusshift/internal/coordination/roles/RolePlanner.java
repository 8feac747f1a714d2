package org.cactusshift.internal.coordination.roles;

import java.util.List;

/** Plans the roles of the engines of one model. The only state of an implementation is the times of its own changes. */
public interface RolePlanner {
    /**
     * Returns the role changes to be made now.
     *
     * @param snapshot the engines and the demand
     * @param nowMillis the current time
     * @return the changes; the planner assumes that the caller carries them out
     */
    List<RoleChange> plan(RoleSnapshot snapshot, long nowMillis);
}
