package org.cactusshift.systemtest;

import java.util.List;

/**
 * Judges whether callers of nodes that have lost their links to all upstreams are served like those of the others. Only
 * requests that were sent to nodes in touch count, while links are lost and a node that has its links is in touch too.
 *
 * <p>RECOVER: from {@link #CONTACT_MILLIS} after the loss, such nodes serve less than two thirds of the share that the
 * others serve, and more than {@link #ALLOWED_FAILURES} and 1 in 50 requests fail there.
 */
final class SoakRecoverJudge {
    static final long CONTACT_MILLIS = 3_000;
    private static final int ALLOWED_FAILURES = 10;
    private static final int REQUESTS_PER_ALLOWED_FAILURE = 50;
    private static final double MINIMUM_RELATIVE_SHARE = 2.0 / 3;

    private int requestsWithoutLinks;
    private int servedWithoutLinks;
    private int otherRequests;
    private int servedOthers;

    /** Records a request, sent while links of some node are lost; {@code lostForMillis} is 0 at the other nodes. */
    synchronized void onEnded(long lostForMillis, boolean served) {
        if (lostForMillis >= CONTACT_MILLIS) {
            requestsWithoutLinks++;
            servedWithoutLinks += served ? 1 : 0;
        } else if (lostForMillis == 0) {
            otherRequests++;
            servedOthers += served ? 1 : 0;
        }
    }

    synchronized List<String> violations() {
        int failures = requestsWithoutLinks - servedWithoutLinks;
        int allowed = ALLOWED_FAILURES + requestsWithoutLinks / REQUESTS_PER_ALLOWED_FAILURE;
        double share = (double) servedWithoutLinks / Math.max(1, requestsWithoutLinks);
        double otherShare = (double) servedOthers / Math.max(1, otherRequests);
        boolean violated = failures > allowed && share < MINIMUM_RELATIVE_SHARE * otherShare;
        return violated ? List.of("RECOVER: " + this) : List.of();
    }

    @Override
    public synchronized String toString() {
        return "nodes without links served " + servedWithoutLinks + " of " + requestsWithoutLinks
                + " requests, the others " + servedOthers + " of " + otherRequests;
    }
}
