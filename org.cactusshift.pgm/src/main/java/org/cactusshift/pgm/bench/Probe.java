package org.cactusshift.pgm.bench;

import java.util.List;
import org.cactusshift.errors.CactusshiftException;

/** Measures one component of a node at several sizes of the site. */
interface Probe {
    /**
     * Runs the measurement.
     *
     * @param scale the sizes and durations to use
     * @return the measurements
     * @throws CactusshiftException if the component can't be started
     */
    List<ScalingMeasurement> measure(Scale scale) throws CactusshiftException;
}
