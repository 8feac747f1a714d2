package org.cactusshift.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Judges the requests that arrive at an upstream while it states a limit on requests per second. Only requests of nodes
 * that ran without an interruption for some time count.
 *
 * <p>LIMIT: from {@link #CONTACT_MILLIS} after the limit was first stated, more than one and a half times what it
 * allows, and {@link #ALLOWED_BURST}, arrive within {@link #WINDOW_MILLIS}.
 */
final class SoakLimitJudge {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final double TOLERANCE = 1.5;
    private static final int ALLOWED_BURST = 5;

    private final List<Long> arrivalsMillis = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private double limitPerSecond;

    /** When the limit was first stated; {@link Long#MAX_VALUE} while there is none. */
    private long statedAtMillis = Long.MAX_VALUE;

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Records that the upstream states a limit from now on. */
    synchronized void onStated(double limit, long nowMillis) {
        limitPerSecond = limit;
        statedAtMillis = nowMillis;
        arrivalsMillis.clear();
    }

    /** Records that the upstream states no limit any more. */
    synchronized void onEnded() {
        statedAtMillis = Long.MAX_VALUE;
        arrivalsMillis.clear();
    }

    /** Records a request; that of a node which was not in touch is left out. */
    synchronized void onArrival(boolean inTouch, long nowMillis) {
        if (!inTouch || statedAtMillis == Long.MAX_VALUE || nowMillis < statedAtMillis + CONTACT_MILLIS) {
            return;
        }
        arrivalsMillis.add(nowMillis);
        arrivalsMillis.removeIf(arrival -> nowMillis - arrival >= WINDOW_MILLIS);
        double allowed = TOLERANCE * limitPerSecond * WINDOW_MILLIS / 1_000 + ALLOWED_BURST;
        if (arrivalsMillis.size() > allowed) {
            violations.add("LIMIT: " + arrivalsMillis.size() + " requests within " + WINDOW_MILLIS
                    + " ms at an upstream " + "with a limit of " + limitPerSecond + " a second, allowed " + allowed);
        }
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
