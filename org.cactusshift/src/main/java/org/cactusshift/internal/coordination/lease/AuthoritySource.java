package org.cactusshift.internal.coordination.lease;

import java.util.Optional;

/** Tells which duties this process holds. */
public interface AuthoritySource {
    /**
     * Returns the authority for a duty.
     *
     * @param duty the duty
     * @param nowMillis the present time, monotonic
     * @return the authority, empty when the duty is not held or its lease may have ended
     */
    Optional<Authority> authority(DutyId duty, long nowMillis);
}
