package org.cactusshift.internal.coordination.lease;

import java.util.Optional;

/** Tells who holds a duty, as last read from the store; a hint for routing and never a proof. */
public interface DutyDirectory {
    /**
     * Returns the last known holder of a duty.
     *
     * @param duty the duty
     * @return the holder, empty when none is known
     */
    Optional<DutyHolder> holder(DutyId duty);
}
