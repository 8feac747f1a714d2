package org.cactusshift.internal.coordination.serving;

import java.util.ArrayDeque;

/**
 * Limits the retries of this node to its share of the retry budget of the site, over a sliding window.
 *
 * <p>In any window the site allows retries for a ratio of the requests plus a fixed number. Each node uses the ratio of
 * its own requests and an equal part of the fixed number, so that no coordination between nodes is needed. A node that
 * has just started does not know the retries of its former incarnation and uses its part of the fixed number only after
 * one window.
 */
public final class WindowedRetryBudget {
    /**
     * The share of the budget that is used; the rest is a margin, because attempts and requests are counted elsewhere
     * later than at this node.
     */
    private static final double USABLE_SHARE = 0.8;

    private double ratio;
    private double fixedRetriesPerWindow;
    private final long windowMillis;
    private final long startedAtMillis;
    private final ArrayDeque<Long> requestTimesMillis = new ArrayDeque<>();
    private final ArrayDeque<Long> retryTimesMillis = new ArrayDeque<>();

    private WindowedRetryBudget(double ratio, double fixedRetriesPerWindow, long windowMillis, long startedAtMillis) {
        this.ratio = ratio;
        this.fixedRetriesPerWindow = fixedRetriesPerWindow;
        this.windowMillis = windowMillis;
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Returns an unused budget.
     *
     * @param ratio the retries allowed for each request, 0 or more
     * @param fixedRetriesPerWindow the further retries allowed in a window, over the whole site
     * @param windowMillis the length of the window
     * @param startedAtMillis when this node started
     * @return the budget
     */
    public static WindowedRetryBudget create(
            double ratio, double fixedRetriesPerWindow, long windowMillis, long startedAtMillis) {
        return new WindowedRetryBudget(ratio, fixedRetriesPerWindow, windowMillis, startedAtMillis);
    }

    /**
     * Changes the limits; retries already made in the current window still count.
     *
     * @param newRatio the retries allowed for each request, 0 or more
     * @param newFixedRetriesPerWindow the further retries allowed in a window, over the whole site
     */
    public void setLimits(double newRatio, double newFixedRetriesPerWindow) {
        ratio = newRatio;
        fixedRetriesPerWindow = newFixedRetriesPerWindow;
    }

    /**
     * Records a new request.
     *
     * @param nowMillis the current time
     */
    public void onRequest(long nowMillis) {
        requestTimesMillis.addLast(nowMillis);
        removeExpired(requestTimesMillis, nowMillis);
    }

    /**
     * Takes one retry from the budget, if one is left.
     *
     * @param nodeCount the nodes that share the fixed number, at least 1
     * @param nowMillis the current time
     * @return whether the retry is allowed; false when the budget of this node is exhausted
     */
    public boolean tryRetry(int nodeCount, long nowMillis) {
        if (takenRetries(nowMillis) + 1 > allowedRetries(nodeCount, nowMillis)) {
            return false;
        }
        retryTimesMillis.addLast(nowMillis);
        return true;
    }

    /**
     * Returns the retries that were taken in the current window.
     *
     * @param nowMillis the current time
     * @return the number of retries
     */
    public int takenRetries(long nowMillis) {
        removeExpired(retryTimesMillis, nowMillis);
        return retryTimesMillis.size();
    }

    /**
     * Returns the retries that this node may make in the current window.
     *
     * @param nodeCount the nodes that share the fixed number, at least 1
     * @param nowMillis the current time
     * @return the number of retries, including those already taken
     */
    public double allowedRetries(int nodeCount, long nowMillis) {
        removeExpired(requestTimesMillis, nowMillis);
        boolean firstWindow = nowMillis - startedAtMillis < windowMillis;
        double fixed = firstWindow ? 0 : fixedRetriesPerWindow / Math.max(1, nodeCount);
        return USABLE_SHARE * (ratio * requestTimesMillis.size() + fixed);
    }

    private void removeExpired(ArrayDeque<Long> timesMillis, long nowMillis) {
        while (!timesMillis.isEmpty() && nowMillis - timesMillis.peekFirst() > windowMillis) {
            timesMillis.removeFirst();
        }
    }
}
