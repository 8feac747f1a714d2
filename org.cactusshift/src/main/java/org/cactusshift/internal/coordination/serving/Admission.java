package org.cactusshift.internal.coordination.serving;

/**
 * Computes by how much the response of a request is expected to be too late, so that a request that can't be answered
 * in time is refused on arrival.
 *
 * <p>A late response is still of some use to the caller and a refusal is of none, and callers that are refused twice
 * get the worst service. Therefore only a request that is unlikely to get a response before its deadline is refused,
 * and it is refused immediately.
 */
public final class Admission {
    /**
     * The fraction of the time budget within which the first part of the response must be expected; the rest is left
     * for the output.
     */
    private static final double FIRST_PART_FRACTION = 0.75;

    private Admission() {}

    /**
     * Returns by how much the expected response time of a placement exceeds the acceptable time.
     *
     * @param request the request
     * @param expectedFirstPartMillis the expected time from now to the first part of the response
     * @param nowMillis the current time
     * @return the excess in milliseconds; 0 or less when the request is admitted
     */
    public static long excessMillis(ServingRequest request, long expectedFirstPartMillis, long nowMillis) {
        long budgetMillis = request.deadlineMillis() - request.arrivedAtMillis();
        long latestFirstPartMillis = request.arrivedAtMillis() + Math.round(FIRST_PART_FRACTION * budgetMillis);
        return nowMillis + expectedFirstPartMillis - latestFirstPartMillis;
    }
}
