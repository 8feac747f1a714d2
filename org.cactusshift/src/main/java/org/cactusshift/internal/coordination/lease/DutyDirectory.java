package org.cactusshift.internal.coordination.lease;

import java.util.Optional;

/**
 * Looks up the holders of the duties, as last read from the store. A routing hint only: the holder may have changed
 * since.
 */
public interface DutyDirectory {
    /**
     * Returns the last known holder of a duty.
     *
     * @param duty the duty
     * @return the holder; empty when the last read found none or nothing has been read yet
     */
    Optional<DutyHolder> holder(DutyId duty);
}
