package org.cactusshift.internal.coordination.lease;

import org.cactusshift.internal.coordination.store.StorePosition;

/**
 * Derives fencing numbers from the positions at which duties were acquired, so that a later acquisition has a higher
 * number, also after the store was restored from a copy and gives out revisions again.
 */
public final class FencingNumbers {
    /** More revisions than a restore can lose; small enough that numbers stay exact in JSON for two million eras. */
    private static final long REVISIONS_PER_ERA = 1L << 32;

    private FencingNumbers() {}

    /**
     * Returns the fencing number of a duty.
     *
     * @param acquiredAt the position at which the duty's key was created
     * @param firstEra the era in which the numbers are the revisions, as builds use them that know no eras
     * @return the number
     */
    public static long of(StorePosition acquiredAt, long firstEra) {
        return Math.max(0, acquiredAt.era() - firstEra) * REVISIONS_PER_ERA + acquiredAt.revision();
    }
}
