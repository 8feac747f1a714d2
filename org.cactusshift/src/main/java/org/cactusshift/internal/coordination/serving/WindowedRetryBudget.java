package org.cactusshift.internal.coordination.serving;

import java.util.ArrayDeque;

/**
 * Limits the retries of this node to its share of the retry budget of the site.
 *
 * <p>In any window the site allows retries for a ratio of the requests plus a fixed number. Each node uses the ratio of
 * its own requests and an equal part of the fixed number, so that no coordination between nodes is needed. A node that
 * has just started does not know the retries of its former incarnation and uses the fixed part only after one window.
 */
public final class WindowedRetryBudget {
    /**
     * The usable share of the budget; the rest allows for attempts and requests that are counted elsewhere later than
     * here.
     */
    private static final double USABLE_SHARE = 0.8;

    private double ratio;
    private double fixedPart;
    private final long windowMillis;
    private final long startedAtMillis;
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();

    private WindowedRetryBudget(double ratio, double fixedPart, long windowMillis, long startedAtMillis) {
        this.ratio = ratio;
        this.fixedPart = fixedPart;
        this.windowMillis = windowMillis;
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Returns an unused budget.
     *
     * @param ratio the retries allowed for each request
     * @param fixedPart the further retries allowed in a window, over the whole site
     * @param windowMillis the length of the window
     * @param startedAtMillis when this node started
     * @return the budget
     */
    public static WindowedRetryBudget create(double ratio, double fixedPart, long windowMillis, long startedAtMillis) {
        return new WindowedRetryBudget(ratio, fixedPart, windowMillis, startedAtMillis);
    }

    /**
     * Changes the limits; retries already made in the current window still count.
     *
     * @param newRatio the retries allowed for each request
     * @param newFixedPart the further retries allowed in a window, over the whole site
     */
    public void setLimits(double newRatio, double newFixedPart) {
        ratio = newRatio;
        fixedPart = newFixedPart;
    }

    /**
     * Records a new request.
     *
     * @param nowMillis the current time
     */
    public void onRequest(long nowMillis) {
        requests.addLast(nowMillis);
        removeExpired(requests, nowMillis);
    }

    /**
     * Takes one retry from the budget, if one is left.
     *
     * @param nodeCount the nodes that share the fixed part, at least 1
     * @param nowMillis the current time
     * @return whether the retry is allowed; false when the budget of this node is exhausted
     */
    public boolean tryRetry(int nodeCount, long nowMillis) {
        removeExpired(requests, nowMillis);
        removeExpired(retries, nowMillis);
        if (retries.size() + 1 > allowed(nodeCount, nowMillis)) {
            return false;
        }
        retries.addLast(nowMillis);
        return true;
    }

    private double allowed(int nodeCount, long nowMillis) {
        boolean firstWindow = nowMillis - startedAtMillis < windowMillis;
        double fixed = firstWindow ? 0 : fixedPart / Math.max(1, nodeCount);
        return USABLE_SHARE * (ratio * requests.size() + fixed);
    }

    private void removeExpired(ArrayDeque<Long> timesMillis, long nowMillis) {
        while (!timesMillis.isEmpty() && nowMillis - timesMillis.peekFirst() > windowMillis) {
            timesMillis.removeFirst();
        }
    }
}
