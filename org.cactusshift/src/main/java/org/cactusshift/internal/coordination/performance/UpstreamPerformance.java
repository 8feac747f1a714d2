package org.cactusshift.internal.coordination.performance;

/**
 * Estimates how long work takes at one incarnation of an upstream, relative to the service's other upstreams: 1 means
 * the same, 2 twice as long.
 *
 * <p>The estimate is a scalar Kalman filter of the logarithm of the relative time, whose state reverts to 0 between
 * samples. A new sample therefore counts for more the longer there was none, and a slow upstream that receives no
 * requests is tried again. The upstream's own statement of its present slowdown is kept apart, as it changes many times
 * a second. Not thread-safe.
 */
public final class UpstreamPerformance {
    /** Time in which the logarithm of the estimate halves when there are no samples. */
    public static final long HALF_LIFE_MILLIS = 5_000;

    /** Time without samples after which the estimate is 1. */
    public static final long EXPIRY_MILLIS = 15_000;

    /** How long a stated slowdown is used: the time in which it may have changed. */
    public static final long STATED_VALID_MILLIS = 300;

    /** The least valid stated slowdown, in percent. */
    public static final int MINIMUM_STATED_PERCENT = 10;

    /** The greatest valid stated slowdown, in percent. */
    public static final int MAXIMUM_STATED_PERCENT = 10_000;

    /** Bounds each sample, and the effect of a stated slowdown, so that a false one has limited effect. */
    public static final double MAXIMUM_FACTOR = 4;

    /** Maximum number of samples that count of one message, so that a faulty peer has limited weight. */
    static final int MAXIMUM_PEER_SAMPLES = 16;

    private static final double MAXIMUM_LOGARITHM = Math.log(MAXIMUM_FACTOR);

    /** Variance of the logarithm of the relative time without samples: speeds differ by a factor of 1.6 or so. */
    private static final double PRIOR_VARIANCE = 0.2;

    /** Variance of the logarithm of one sample, for requests that take different times at the same upstream. */
    private static final double SAMPLE_VARIANCE = 0.3;

    /**
     * The same at a model engine, where the prefills ahead of a request are known only roughly. A few samples must not
     * outweigh the cached parts of a prompt, which would then be prefilled again elsewhere.
     */
    private static final double ENGINE_SAMPLE_VARIANCE = 2;

    private static final double PERCENT = 100;

    /** An upstream with a greater estimate is slow. */
    private static final double SLOW_ESTIMATE = 2;

    /** A slow upstream with a lesser estimate has recovered; the gap keeps one near the bound from changing often. */
    private static final double RECOVERED_ESTIMATE = 1.5;

    private double logarithm;
    private double variance = PRIOR_VARIANCE;
    private long samples;

    /** Initially far in the past; halved so that its difference to the current time does not overflow. */
    private long sampledAtMillis = Long.MIN_VALUE / 2;

    private double statedFactor = 1;
    private long statedAtMillis = Long.MIN_VALUE / 2;

    private boolean slow;

    /** A change that operators are told of. */
    public enum Change {
        /** None since the last call. */
        NONE,
        /** Work takes more than twice as long as at the other upstreams. */
        SLOW,
        /** The upstream was slow and is not any more, or is not known to be. */
        RECOVERED
    }

    private final double sampleVariance;

    private UpstreamPerformance(double sampleVariance) {
        this.sampleVariance = sampleVariance;
    }

    /**
     * Returns the estimate of an upstream without samples.
     *
     * @return the estimate
     */
    public static UpstreamPerformance create() {
        return new UpstreamPerformance(SAMPLE_VARIANCE);
    }

    /**
     * Returns the estimate of a model engine without samples.
     *
     * @return the estimate
     */
    public static UpstreamPerformance ofEngine() {
        return new UpstreamPerformance(ENGINE_SAMPLE_VARIANCE);
    }

    /**
     * Records a response to a request of this node.
     *
     * @param relativeTime the time to the first part of the response, divided by the expected time for the same work at
     *     the same load, and by the stated slowdown that applied; ignored unless it is above 0 and finite
     * @param nowMillis the current time
     */
    public void onResponse(double relativeTime, long nowMillis) {
        if (relativeTime > 0 && Double.isFinite(relativeTime)) {
            update(boundedLogarithm(relativeTime), 1, nowMillis);
        }
    }

    /**
     * Records the samples of a peer.
     *
     * @param count the number of samples; ignored unless it is above 0
     * @param sumOfLogarithms the sum of their logarithms; ignored unless it is finite
     * @param nowMillis the current time
     */
    public void onPeerSamples(int count, double sumOfLogarithms, long nowMillis) {
        if (count > 0 && Double.isFinite(sumOfLogarithms)) {
            update(bounded(sumOfLogarithms / count), Math.min(count, MAXIMUM_PEER_SAMPLES), nowMillis);
        }
    }

    private void update(double sample, int count, long nowMillis) {
        double retained = retained(nowMillis);
        double predicted = logarithm * retained;
        double predictedVariance = varianceAfter(retained);
        double gain = predictedVariance / (predictedVariance + sampleVariance / count);
        logarithm = predicted + gain * (sample - predicted);
        variance = (1 - gain) * predictedVariance;
        samples += count;
        sampledAtMillis = nowMillis;
    }

    /** Returns the fraction of the logarithm that is left now, from 1 to 0. */
    private double retained(long nowMillis) {
        long ageMillis = ageMillis(nowMillis);
        return ageMillis >= EXPIRY_MILLIS ? 0 : Math.pow(2, -(double) ageMillis / HALF_LIFE_MILLIS);
    }

    private double varianceAfter(double retained) {
        return retained * retained * variance + (1 - retained * retained) * PRIOR_VARIANCE;
    }

    /**
     * Records the slowdown that the upstream states.
     *
     * @param percent how long work takes there at this moment, in percent of the usual time; ignored when out of range
     * @param nowMillis the current time
     */
    public void onStated(int percent, long nowMillis) {
        if (percent >= MINIMUM_STATED_PERCENT && percent <= MAXIMUM_STATED_PERCENT) {
            statedFactor = Math.max(1 / MAXIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, percent / PERCENT));
            statedAtMillis = nowMillis;
        }
    }

    /**
     * Returns the slowdown that the upstream states.
     *
     * @param nowMillis the current time
     * @return how long work takes at this moment relative to the usual time there, 1 when that is not known
     */
    public double statedFactor(long nowMillis) {
        return nowMillis - statedAtMillis <= STATED_VALID_MILLIS ? statedFactor : 1;
    }

    /**
     * Returns the long-term estimate, without the stated slowdown.
     *
     * @param nowMillis the current time
     * @return the time that work takes, relative to the service's other upstreams
     */
    public double estimate(long nowMillis) {
        return Math.exp(logarithm * retained(nowMillis));
    }

    /**
     * Returns the expected time of work that starts now.
     *
     * @param nowMillis the current time
     * @return the time, relative to the service's other upstreams
     */
    public double relativeTime(long nowMillis) {
        return estimate(nowMillis) * statedFactor(nowMillis);
    }

    /**
     * Returns the uncertainty of the estimate.
     *
     * @param nowMillis the current time
     * @return the standard deviation of its logarithm
     */
    public double uncertainty(long nowMillis) {
        return Math.sqrt(varianceAfter(retained(nowMillis)));
    }

    /**
     * Returns the number of samples so far, those of peers included.
     *
     * @return the number
     */
    public long samples() {
        return samples;
    }

    /**
     * Returns the age of the newest sample.
     *
     * @param nowMillis the current time
     * @return the age, in milliseconds; very long when there is none
     */
    public long ageMillis(long nowMillis) {
        return Math.max(0, nowMillis - sampledAtMillis);
    }

    /**
     * Returns whether the upstream has become slow or has recovered since the last call.
     *
     * @param nowMillis the current time
     * @return the change
     */
    public Change takeChange(long nowMillis) {
        if (!slow && ageMillis(nowMillis) >= EXPIRY_MILLIS) {
            return Change.NONE;
        }
        double estimate = estimate(nowMillis);
        if (!slow && estimate > SLOW_ESTIMATE) {
            slow = true;
            return Change.SLOW;
        }
        if (slow && estimate < RECOVERED_ESTIMATE) {
            slow = false;
            return Change.RECOVERED;
        }
        return Change.NONE;
    }

    /** Returns the logarithm of a relative time, within the bounds of a sample. */
    static double boundedLogarithm(double relativeTime) {
        return bounded(Math.log(relativeTime));
    }

    private static double bounded(double logarithm) {
        return Math.max(-MAXIMUM_LOGARITHM, Math.min(MAXIMUM_LOGARITHM, logarithm));
    }
}
