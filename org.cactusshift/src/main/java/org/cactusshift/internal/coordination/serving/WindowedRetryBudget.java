package org.cactusshift.internal.coordination.serving;

import java.util.ArrayDeque;

/**
 * Keeps what this node sends beyond the first send of each request under its share of the site's allowance.
 *
 * <p>The site allows, in any window, a ratio of the requests plus a fixed number. Each node takes the ratio of its own
 * requests and an equal part of the fixed number, so that no node asks another. A node that just started does not know
 * what its former life spent and waits one window before it uses the fixed part.
 */
public final class WindowedRetryBudget {
    /** What is left unused, for sends and requests that are counted later than they are seen here. */
    private static final double USABLE_SHARE = 0.8;

    private double ratio;
    private double fixedPart;
    private final long windowMillis;
    private final long startedAtMillis;
    private final ArrayDeque<Long> requests = new ArrayDeque<>();
    private final ArrayDeque<Long> repeats = new ArrayDeque<>();

    private WindowedRetryBudget(double ratio, double fixedPart, long windowMillis, long startedAtMillis) {
        this.ratio = ratio;
        this.fixedPart = fixedPart;
        this.windowMillis = windowMillis;
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Returns an allowance that is not used yet.
     *
     * @param ratio the repeats allowed for each request
     * @param fixedPart the repeats allowed in a window besides, over the whole site
     * @param windowMillis the window
     * @param startedAtMillis when this node started
     * @return the allowance
     */
    public static WindowedRetryBudget create(double ratio, double fixedPart, long windowMillis, long startedAtMillis) {
        return new WindowedRetryBudget(ratio, fixedPart, windowMillis, startedAtMillis);
    }

    /**
     * Changes the limits; what was used in the present window still counts.
     *
     * @param newRatio the repeats allowed for each request
     * @param newFixedPart the repeats allowed in a window besides, over the whole site
     */
    public void setLimits(double newRatio, double newFixedPart) {
        ratio = newRatio;
        fixedPart = newFixedPart;
    }

    /**
     * Notes a new request.
     *
     * @param nowMillis the present time
     */
    public void onRequest(long nowMillis) {
        requests.addLast(nowMillis);
        forgetOld(requests, nowMillis);
    }

    /**
     * Takes one repeat.
     *
     * @param nodes the nodes that share the fixed part, at least 1
     * @param nowMillis the present time
     * @return false when this node has none left
     */
    public boolean tryRetry(int nodes, long nowMillis) {
        forgetOld(requests, nowMillis);
        forgetOld(repeats, nowMillis);
        if (repeats.size() + 1 > allowed(nodes, nowMillis)) {
            return false;
        }
        repeats.addLast(nowMillis);
        return true;
    }

    private double allowed(int nodes, long nowMillis) {
        boolean firstWindow = nowMillis - startedAtMillis < windowMillis;
        double fixed = firstWindow ? 0 : fixedPart / Math.max(1, nodes);
        return USABLE_SHARE * (ratio * requests.size() + fixed);
    }

    private void forgetOld(ArrayDeque<Long> times, long nowMillis) {
        while (!times.isEmpty() && nowMillis - times.peekFirst() > windowMillis) {
            times.removeFirst();
        }
    }
}
