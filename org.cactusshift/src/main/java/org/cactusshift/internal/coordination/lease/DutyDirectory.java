package org.cactusshift.internal.coordination.lease;

import java.util.Optional;

/**
 * Returns the holder of each duty as last read from the store. A routing hint only: the holder may have changed since.
 */
public interface DutyDirectory {
    /**
     * Returns the last known holder of a duty.
     *
     * @param duty the duty
     * @return the holder; empty when none is known
     */
    Optional<DutyHolder> holder(DutyId duty);
}
