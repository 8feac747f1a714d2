package org.cactusshift.systemtest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Judges what callers and engines observe of a prompt part that crashes engines. Only requests at nodes that ran
 * without an interruption for some time count.
 *
 * <ul>
 *   <li>BUDGET: more than three requests with the part that were sent later than {@link #CONTACT_MILLIS} after the
 *       fifth crash reached engines;
 *   <li>LOST: of the sound requests sent later than twice that, less than half as many were served as before the first
 *       crash.
 * </ul>
 */
final class SoakCrashJudge {
    private static final int CRASHES = 5;
    private static final int MAXIMUM_LATE_REQUESTS = 3;
    private static final long CONTACT_MILLIS = 3_000;
    private static final int MINIMUM_SOUND_REQUESTS = 20;

    private record Ended(long sentAtNanos, boolean crashing, boolean served, boolean reached) {}

    private final Map<String, Long> sentAtNanosById = new HashMap<>();
    private final List<String> reachedIds = new ArrayList<>();
    private final List<Ended> ended = new ArrayList<>();
    private final List<Long> crashNanos = new ArrayList<>();

    synchronized void onSent(String id, long sentAtNanos) {
        sentAtNanosById.put(id, sentAtNanos);
    }

    synchronized void onReached(String id) {
        reachedIds.add(id);
    }

    synchronized void onCrash() {
        crashNanos.add(System.nanoTime());
    }

    /** Records the end of a request; requests at a node that was not in touch are left out. */
    synchronized void onEnded(String id, boolean crashing, boolean served, boolean inTouch) {
        if (inTouch) {
            ended.add(new Ended(sentAtNanosById.get(id), crashing, served, reachedIds.contains(id)));
        }
    }

    synchronized int crashCount() {
        return crashNanos.size();
    }

    synchronized List<String> violations() {
        List<String> violations = new ArrayList<>();
        if (crashNanos.size() < CRASHES) {
            return violations;
        }
        long fifthCrashNanos = crashNanos.get(CRASHES - 1);
        long lateNanos = fifthCrashNanos + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
        long late = ended.stream()
                .filter(request -> request.crashing() && request.reached() && request.sentAtNanos() > lateNanos)
                .count();
        if (late > MAXIMUM_LATE_REQUESTS) {
            violations.add("BUDGET: " + late + " requests with the part reached engines too late");
        }
        double before = soundShare(Long.MIN_VALUE, crashNanos.get(0));
        double after = soundShare(fifthCrashNanos + TimeUnit.MILLISECONDS.toNanos(2 * CONTACT_MILLIS), Long.MAX_VALUE);
        if (after < before / 2) {
            violations.add("LOST: " + after + " of the sound requests were served, " + before + " before");
        }
        return violations;
    }

    /** Returns the share of sound requests sent in a time that were served; not a number if there are too few. */
    private double soundShare(long fromNanos, long toNanos) {
        List<Ended> sound = ended.stream()
                .filter(request -> !request.crashing())
                .filter(request -> request.sentAtNanos() > fromNanos && request.sentAtNanos() < toNanos)
                .toList();
        return sound.size() < MINIMUM_SOUND_REQUESTS
                ? Double.NaN
                : (double) sound.stream().filter(Ended::served).count() / sound.size();
    }

    @Override
    public synchronized String toString() {
        long refused = ended.stream()
                .filter(request -> request.crashing() && !request.reached())
                .count();
        return crashNanos.size() + " crashes, " + reachedIds.size() + " requests with the part reached engines, "
                + refused + " did not, sound requests "
                + ended.stream().filter(request -> !request.crashing()).count()
                + ", served " + ended.stream().filter(Ended::served).count() + ", violations " + violations();
    }
}
