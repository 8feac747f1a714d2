package org.cactusshift.pgm.bench;

import java.util.List;
import org.cactusshift.errors.CactusshiftException;

/** Measures one part of the system at several sizes. */
interface Probe {
    /**
     * Measures.
     *
     * @param scale the sizes and times to use
     * @return the slopes
     * @throws CactusshiftException if a part could not be started
     */
    List<Slope> measure(Scale scale) throws CactusshiftException;
}
