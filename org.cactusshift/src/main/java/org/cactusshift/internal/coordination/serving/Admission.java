package org.cactusshift.internal.coordination.serving;

/**
 * Decides at arrival whether a request is worth placing.
 *
 * <p>A late answer is worth something, a refusal nothing, and callers that are refused twice are the worst served. So
 * only a request that can hardly be answered before its deadline is refused, at once.
 */
public final class Admission {
    /** The part of the time budget within which the first answer must be expected; the rest is for the output. */
    private static final double LATEST_PART = 0.75;

    private Admission() {}

    /**
     * Returns by how much a placement misses what is acceptable.
     *
     * @param request the request
     * @param expectedFirstAnswerMillis the time to the first answer from now
     * @param nowMillis the present time
     * @return the excess, 0 or less when the request is to be placed
     */
    public static long excessMillis(ServingRequest request, long expectedFirstAnswerMillis, long nowMillis) {
        long budgetMillis = request.deadlineMillis() - request.arrivedAtMillis();
        long latestMillis = request.arrivedAtMillis() + Math.round(LATEST_PART * budgetMillis);
        return nowMillis + expectedFirstAnswerMillis - latestMillis;
    }
}
