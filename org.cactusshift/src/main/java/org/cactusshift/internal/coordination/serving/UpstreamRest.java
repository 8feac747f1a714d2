package org.cactusshift.internal.coordination.serving;

/**
 * The rest that an upstream asked this node for: it is to get nothing from here until its end. After the end it gets
 * one request, and twice as many at a time after each success, as it may still be overloaded.
 *
 * <p>The longest of several rests counts, and no later response shortens it. A new incarnation of the upstream begins
 * without one.
 */
public final class UpstreamRest {
    private static final int MAXIMUM_DOUBLINGS = 7;

    /** {@link Long#MIN_VALUE} when there was none. */
    private long endMillis = Long.MIN_VALUE;

    /** Successes of requests that were sent after the end. */
    private int successes;

    /**
     * Records that the upstream asks for rest.
     *
     * @param millis the time for which it wants nothing
     * @param nowMillis the current time
     */
    public void onAsked(long millis, long nowMillis) {
        endMillis = Math.max(endMillis, nowMillis + millis);
        successes = 0;
    }

    void onSuccess(long sentAtMillis) {
        if (sentAtMillis >= endMillis) {
            successes = Math.min(successes + 1, MAXIMUM_DOUBLINGS);
        }
    }

    /**
     * Returns whether the rest lasts.
     *
     * @param nowMillis the current time
     * @return whether nothing may be sent to the upstream
     */
    public boolean lasts(long nowMillis) {
        return nowMillis < endMillis;
    }

    /** Returns whether one more request may be sent beside the open ones. */
    boolean allowsRequest(int openRequests, long nowMillis) {
        boolean isOver = endMillis == Long.MIN_VALUE || successes == MAXIMUM_DOUBLINGS;
        return !lasts(nowMillis) && (isOver || openRequests < 1 << successes);
    }

    /** Returns the end of the rest, {@link Long#MIN_VALUE} when there was none. */
    long endMillis() {
        return endMillis;
    }
}
