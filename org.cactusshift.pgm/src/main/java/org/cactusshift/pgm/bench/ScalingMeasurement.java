package org.cactusshift.pgm.bench;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Objects;

/**
 * A value of a role, measured at several sizes, and the line fitted to it.
 *
 * @param role the role
 * @param measure the name of the measured value, with its unit
 * @param per what the size counts, in the singular, such as {@code account}
 * @param todaySize the size at a current site, of {@link SiteSizes#NODES_TODAY} nodes
 * @param plannedSize the size at a planned site, of {@link SiteSizes#NODES_PLANNED} nodes
 * @param samples the measured values, at three distinct sizes or more
 */
public record ScalingMeasurement(
        NodeRole role, String measure, String per, double todaySize, double plannedSize, List<Sample> samples) {
    /** Rejects missing components and copies the list. */
    public ScalingMeasurement {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(measure, "measure");
        Objects.requireNonNull(per, "per");
        samples = List.copyOf(samples);
    }

    /**
     * Returns the line fitted to the samples.
     *
     * @return the line
     */
    @JsonProperty
    public LinearFit fit() {
        return LinearFit.of(samples);
    }

    /**
     * Returns the value at a current site.
     *
     * @return the value on the line
     */
    @JsonProperty
    public double today() {
        return fit().at(todaySize);
    }

    /**
     * Returns the value at a planned site.
     *
     * @return the value on the line
     */
    @JsonProperty
    public double planned() {
        return fit().at(plannedSize);
    }
}
