package org.cactusshift.systemtest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges the requests that arrive at one upstream from nodes which it has asked for rest. Only nodes that were in
 * touch all the while count.
 *
 * <p>BUDGET: more than {@link #ALLOWED_REQUESTS} requests of a node arrive between {@link #REACTION_MILLIS} after it
 * was asked and the end of the rest.
 */
final class SoakRestJudge {
    private static final long REACTION_MILLIS = 500;
    private static final int ALLOWED_REQUESTS = 2;

    private final Map<String, Rest> restByNode = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int rests;

    private static final class Rest {
        final long askedAtMillis;
        final long endMillis;
        int arrivals;

        Rest(long askedAtMillis, long endMillis) {
            this.askedAtMillis = askedAtMillis;
            this.endMillis = endMillis;
        }
    }

    /** Records that the upstream turned a node away and asked it for rest. */
    synchronized void onAsked(String node, long restMillis, long nowMillis) {
        rests++;
        restByNode.put(node, new Rest(nowMillis, nowMillis + restMillis));
    }

    /** Records a request; that of a node which was not in touch ends the judgement of its rest. */
    synchronized void onArrival(String node, boolean inTouch, long nowMillis) {
        Rest rest = restByNode.get(node);
        if (rest == null || !inTouch || nowMillis >= rest.endMillis) {
            restByNode.remove(node);
            return;
        }
        if (nowMillis >= rest.askedAtMillis + REACTION_MILLIS) {
            rest.arrivals++;
            if (rest.arrivals > ALLOWED_REQUESTS) {
                violations.add("BUDGET: " + rest.arrivals + " requests of " + node + " within a rest of "
                        + (rest.endMillis - rest.askedAtMillis) + " ms");
            }
        }
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns how often the upstream asked for rest. */
    synchronized int rests() {
        return rests;
    }
}
