package org.cactusshift.internal.coordination.performance;

/**
 * Counts the requests that a node has lately sent to one upstream, each with a weight that decays with time.
 *
 * <p>Placement spreads requests by this count where the open requests say nothing, because most end before the next one
 * is placed. Not thread-safe.
 */
public final class SentRequests {
    /**
     * Time in which the weight of a request falls to 1/e. With 2 s, the shares of upstreams followed each change of the
     * estimates with too large swings.
     */
    private static final double DECAY_MILLIS = 1_000;

    private double count;
    private long countedAtMillis;

    private SentRequests() {}

    /**
     * Returns a count without requests.
     *
     * @return the count
     */
    public static SentRequests none() {
        return new SentRequests();
    }

    /**
     * Counts a request.
     *
     * @param nowMillis the current time
     */
    public void onSend(long nowMillis) {
        count = weighted(nowMillis) + 1;
        countedAtMillis = nowMillis;
    }

    /**
     * Returns the sum of the weights.
     *
     * @param nowMillis the current time
     * @return the number of recent requests, from 0
     */
    public double weighted(long nowMillis) {
        return count == 0 ? 0 : count * Math.exp(-Math.max(0, nowMillis - countedAtMillis) / DECAY_MILLIS);
    }
}
