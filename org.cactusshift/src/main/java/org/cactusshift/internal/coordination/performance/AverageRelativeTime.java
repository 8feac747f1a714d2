package org.cactusshift.internal.coordination.performance;

/**
 * Follows the average of actual over expected times of one kind of work at all upstreams of a service, and relates each
 * response to it.
 *
 * <p>Expected times that are wrong for a kind of work would otherwise make the upstreams that did such work look
 * faster, or slower, than those that did none. Not thread-safe.
 */
public final class AverageRelativeTime {
    /** The weight of the newest response; the first ones weigh more, so that the average does not start at a guess. */
    private static final double MINIMUM_WEIGHT = 0.05;

    private double logarithm;
    private long responses;

    private AverageRelativeTime() {}

    /**
     * Returns an average without responses.
     *
     * @return the average
     */
    public static AverageRelativeTime create() {
        return new AverageRelativeTime();
    }

    /**
     * Records a response.
     *
     * @param relativeTime its time divided by the expected time; above 0 and finite
     * @return its time relative to the average
     */
    public double relate(double relativeTime) {
        double sample = Math.log(relativeTime);
        responses++;
        logarithm += Math.max(MINIMUM_WEIGHT, 1.0 / responses) * (sample - logarithm);
        return Math.exp(sample - logarithm);
    }
}
