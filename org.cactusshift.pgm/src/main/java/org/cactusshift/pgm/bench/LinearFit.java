package org.cactusshift.pgm.bench;

import java.util.List;

/**
 * A straight line fitted to samples by least squares.
 *
 * @param slope the growth of the value per unit of size
 * @param intercept the value at size 0
 * @param residual the root mean square distance of the samples from the line, in the unit of the value
 */
public record LinearFit(double slope, double intercept, double residual) {
    private static final int MINIMUM_SIZES = 3;

    /**
     * Fits a line.
     *
     * @param samples the samples, of at least three distinct sizes
     * @return the line
     * @throws IllegalArgumentException if there are fewer distinct sizes
     */
    public static LinearFit of(List<Sample> samples) {
        if (samples.stream().mapToDouble(Sample::size).distinct().count() < MINIMUM_SIZES) {
            throw new IllegalArgumentException("a fit needs at least " + MINIMUM_SIZES + " distinct sizes");
        }
        double meanSize = samples.stream().mapToDouble(Sample::size).average().orElseThrow();
        double meanValue = samples.stream().mapToDouble(Sample::value).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Sample sample : samples) {
            covariance += (sample.size() - meanSize) * (sample.value() - meanValue);
            variance += (sample.size() - meanSize) * (sample.size() - meanSize);
        }
        double slope = covariance / variance;
        double intercept = meanValue - slope * meanSize;
        double squares = samples.stream()
                .mapToDouble(sample -> sample.value() - slope * sample.size() - intercept)
                .map(distance -> distance * distance)
                .average()
                .orElseThrow();
        return new LinearFit(slope, intercept, Math.sqrt(squares));
    }

    /**
     * Returns the value of the line at a size.
     *
     * @param size the size
     * @return the value; 0 where the line is negative
     */
    public double at(double size) {
        return Math.max(0, slope * size + intercept);
    }
}
