package org.cactusshift.pgm.bench;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Objects;

/**
 * The growth of a measured value of a role with a size.
 *
 * @param role the role
 * @param measure the name of the measured value, with its unit
 * @param per the unit that the size counts
 * @param todaySize the size at a site of 8 nodes
 * @param plannedSize the size at a site of 1,800 nodes
 * @param samples the measured values, at three distinct sizes or more
 */
public record Slope(Role role, String measure, String per, double todaySize, double plannedSize, List<Sample> samples) {
    /** Copies the list. */
    public Slope {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(measure, "measure");
        Objects.requireNonNull(per, "per");
        samples = List.copyOf(samples);
    }

    /**
     * Returns the line through the samples.
     *
     * @return the line
     */
    @JsonProperty
    public LinearFit fit() {
        return LinearFit.of(samples);
    }

    /**
     * Returns the value at a site of 8 nodes.
     *
     * @return the value on the line
     */
    @JsonProperty
    public double today() {
        return fit().at(todaySize);
    }

    /**
     * Returns the value at a site of 1,800 nodes.
     *
     * @return the value on the line
     */
    @JsonProperty
    public double planned() {
        return fit().at(plannedSize);
    }
}
