package org.cactusshift.internal.coordination.lease;

import java.util.Optional;

/** Looks up the authority for the duties that this process holds. */
public interface AuthoritySource {
    /**
     * Returns the authority for a duty.
     *
     * @param duty the duty
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the authority; empty when the duty is not held or its lease may have expired
     */
    Optional<Authority> authority(DutyId duty, long nowMillis);
}
