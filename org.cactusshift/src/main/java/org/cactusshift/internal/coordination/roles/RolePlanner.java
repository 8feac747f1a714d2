package org.cactusshift.internal.coordination.roles;

import java.util.List;

/** Plans the roles of the engines of one model. An implementation keeps only the times of its own changes. */
public interface RolePlanner {
    /**
     * Returns the changes to be made now.
     *
     * @param snapshot the engines and the demand
     * @param nowMillis the present time
     * @return the changes; each counts as made
     */
    List<RoleChange> plan(RoleSnapshot snapshot, long nowMillis);
}
