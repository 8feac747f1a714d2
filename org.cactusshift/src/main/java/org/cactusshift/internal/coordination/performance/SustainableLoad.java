package org.cactusshift.internal.coordination.performance;

/**
 * Learns how many of its slots an upstream can use without slowing down, from the times of responses in three ranges of
 * its load.
 *
 * <p>The times are compared within a short period, so that a speed that changes for another cause changes them all. Not
 * thread-safe.
 */
public final class SustainableLoad {
    /** Number of ranges: below a half of the slots, below nine tenths, and above. */
    public static final int RANGES = 3;

    private static final double[] LOWER_BOUNDS = {0, 0.5, 0.9};

    /** A range whose responses take this many times as long as in the lowest range is not used. */
    private static final double SLOWDOWN_LIMIT = 1.5;

    /** Time in which the weight of a sample halves. */
    private static final double SAMPLE_HALF_LIFE_MILLIS = 10_000;

    /**
     * Least weight of the samples in each of two ranges that are compared: single times vary by about 1.35, so that the
     * means of eight differ by 1.5 by chance less than once in a hundred comparisons.
     */
    private static final double MINIMUM_WEIGHT = 8;

    /** How long a range is avoided before it is tried again. */
    private static final long AVOIDANCE_MILLIS = 30_000;

    private final Means means = new Means();

    /** The same without refusals, which say nothing about the time of a response. */
    private final Means responseMeans = new Means();

    private final double[] slowdowns = {1, 1, 1};
    private final long[] avoidedUntilMillis = {Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE};
    private long updatedAtMillis;

    /** Weighted means of the logarithms of relative times, by range. */
    private static final class Means {
        final double[] weights = new double[RANGES];
        final double[] sums = new double[RANGES];

        void age(double retained) {
            for (int range = 0; range < RANGES; range++) {
                weights[range] *= retained;
                sums[range] *= retained;
            }
        }

        void add(int range, double logarithm) {
            weights[range]++;
            sums[range] += logarithm;
        }

        boolean areKnown(int upper) {
            return weights[0] >= MINIMUM_WEIGHT && weights[upper] >= MINIMUM_WEIGHT;
        }

        /** Returns the time in an upper range relative to that in the lowest one. */
        double slowdown(int upper) {
            return Math.exp(sums[upper] / weights[upper] - sums[0] / weights[0]);
        }
    }

    private SustainableLoad() {}

    /**
     * Returns the state of an upstream without samples.
     *
     * @return the state
     */
    public static SustainableLoad create() {
        return new SustainableLoad();
    }

    /**
     * Returns the range of a load.
     *
     * @param requests the requests at the upstream
     * @param slots the requests that it runs concurrently
     * @return the range, from 0
     */
    public static int range(int requests, int slots) {
        double load = requests / (double) Math.max(1, slots);
        int range = RANGES - 1;
        while (load < LOWER_BOUNDS[range]) {
            range--;
        }
        return range;
    }

    /**
     * Records a response.
     *
     * @param range the range of the load when the request was sent
     * @param relativeTime as for {@link UpstreamPerformance#onResponse}
     * @param nowMillis the current time
     */
    public void onResponse(int range, double relativeTime, long nowMillis) {
        if (!(relativeTime > 0) || !Double.isFinite(relativeTime)) {
            return;
        }
        age(nowMillis);
        responseMeans.add(range, UpstreamPerformance.boundedLogarithm(relativeTime));
        add(range, relativeTime, nowMillis);
    }

    private void age(long nowMillis) {
        double retained = Math.pow(2, -Math.max(0, nowMillis - updatedAtMillis) / SAMPLE_HALF_LIFE_MILLIS);
        means.age(retained);
        responseMeans.age(retained);
        updatedAtMillis = nowMillis;
    }

    private void add(int range, double relativeTime, long nowMillis) {
        means.add(range, UpstreamPerformance.boundedLogarithm(relativeTime));
        for (int upper = 1; upper < RANGES; upper++) {
            if (means.areKnown(upper) && means.slowdown(upper) >= SLOWDOWN_LIMIT) {
                slowdowns[upper] = responseMeans.areKnown(upper) ? Math.max(1, responseMeans.slowdown(upper)) : 1;
                avoidedUntilMillis[upper] = nowMillis + AVOIDANCE_MILLIS;
            }
        }
    }

    /**
     * Records that the upstream refused a request, which counts as a response that took the longest time of a sample.
     *
     * @param range the range of the load; in the lowest one, the load is not the cause
     * @param nowMillis the current time
     */
    public void onRefused(int range, long nowMillis) {
        if (range > 0) {
            age(nowMillis);
            add(range, UpstreamPerformance.MAXIMUM_FACTOR, nowMillis);
        }
    }

    /**
     * Returns how much longer responses take because of the load.
     *
     * @param range the range of the load
     * @param nowMillis the current time
     * @return the time relative to that in the lowest range, 1 unless the range is avoided
     */
    public double slowdown(int range, long nowMillis) {
        return nowMillis < avoidedUntilMillis[range] ? slowdowns[range] : 1;
    }

    /**
     * Returns the number of slots to use.
     *
     * @param slots the slots of the upstream
     * @param nowMillis the current time
     * @return the number, at least 1
     */
    public int usableSlots(int slots, long nowMillis) {
        for (int range = 1; range < RANGES; range++) {
            if (nowMillis < avoidedUntilMillis[range]) {
                return Math.max(1, (int) Math.ceil(LOWER_BOUNDS[range] * slots) - 1);
            }
        }
        return Math.max(1, slots);
    }
}
