package org.cactusshift.internal.coordination.serving;

/**
 * Decides at arrival whether a request is worth placing.
 *
 * <p>A request whose first answer is expected after its deadline is refused at once. Beyond its latency target it is
 * still served, as a late answer is worth something, unless the queue ahead would make every request behind it late:
 * then it is refused while the caller has time to come back.
 */
public final class Admission {
    /** How far behind the target the first answer may be expected, as a multiple of the target. */
    private static final double LATEST_TARGETS = 2.0;

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
        long answerAtMillis = nowMillis + expectedFirstAnswerMillis;
        long latestMillis = request.arrivedAtMillis()
                + Math.round(LATEST_TARGETS * request.route().targetLatencyMillis());
        return answerAtMillis - Math.min(latestMillis, request.deadlineMillis());
    }
}
