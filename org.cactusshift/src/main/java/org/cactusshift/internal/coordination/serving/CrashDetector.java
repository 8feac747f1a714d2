package org.cactusshift.internal.coordination.serving;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.quarantine.CrashSuspect;

/**
 * Distinguishes upstream crashes from lost connections: a request becomes a suspect only if its upstream is observed to
 * go down shortly after its attempt was lost.
 */
public final class CrashDetector {
    /** A crashed upstream refuses connections or reports a new incarnation within this time. */
    private static final long DETECTION_WINDOW_MILLIS = 4_000;

    private static final long SAME_TIME_MILLIS = 500;

    private static final int MANY_UPSTREAMS = 3;

    /** The maximum number of recent lost attempts that are remembered; the oldest are dropped. */
    private static final int MAXIMUM_LOST_ATTEMPTS = 1_024;

    private final CrashHistory history;
    private final Consumer<LostAttempt> crashListener;
    private final ArrayDeque<LostAttempt> lostAttempts = new ArrayDeque<>();

    private CrashDetector(CrashHistory history, Consumer<LostAttempt> crashListener) {
        this.history = history;
        this.crashListener = crashListener;
    }

    /**
     * An attempt that ended without a complete response.
     *
     * @param suspects what may have crashed the upstream
     * @param upstream the upstream that the request was sent to
     * @param sentAtMillis when the request was sent
     * @param lostAtMillis when the attempt ended
     */
    public record LostAttempt(List<CrashSuspect> suspects, UpstreamId upstream, long sentAtMillis, long lostAtMillis) {}

    /**
     * Returns a detector without recorded lost attempts.
     *
     * @param history receives the detected crashes
     * @param crashListener receives each attempt that was lost in a crash
     * @return the detector
     */
    public static CrashDetector create(CrashHistory history, Consumer<LostAttempt> crashListener) {
        return new CrashDetector(history, crashListener);
    }

    /**
     * Records a request whose attempt ended without a complete response, for example because its connection was lost.
     *
     * @param suspects what may crash an upstream by this request
     * @param upstream the upstream that the request was sent to
     * @param sentAtMillis when the request was sent
     * @param nowMillis the current time
     */
    public void onAttemptLost(List<CrashSuspect> suspects, UpstreamId upstream, long sentAtMillis, long nowMillis) {
        lostAttempts.addLast(new LostAttempt(suspects, upstream, sentAtMillis, nowMillis));
        while (lostAttempts.size() > MAXIMUM_LOST_ATTEMPTS
                || (!lostAttempts.isEmpty()
                        && nowMillis - lostAttempts.peekFirst().lostAtMillis() > DETECTION_WINDOW_MILLIS)) {
            lostAttempts.removeFirst();
        }
    }

    /**
     * Returns whether attempts were lost at an upstream that would count as crashes if it went down now.
     *
     * @param upstream the upstream
     * @param nowMillis the current time
     * @return whether there are any
     */
    public boolean hasLostAttempts(UpstreamId upstream, long nowMillis) {
        return lostAttempts.stream()
                .anyMatch(attempt -> attempt.upstream().equals(upstream)
                        && nowMillis - attempt.lostAtMillis() <= DETECTION_WINDOW_MILLIS);
    }

    /**
     * Returns whether attempts were lost at several upstreams at about the same time, which a request that crashes its
     * upstream does not cause, but a lost link of this node does.
     *
     * @param nowMillis the current time
     * @return whether upstreams that are down now tell nothing about the requests that were there
     */
    public boolean lostAttemptsAtManyUpstreams(long nowMillis) {
        return lostAttempts.stream()
                        .filter(attempt -> nowMillis - attempt.lostAtMillis() <= SAME_TIME_MILLIS)
                        .map(LostAttempt::upstream)
                        .distinct()
                        .count()
                >= MANY_UPSTREAMS;
    }

    /**
     * Reports as crashes the attempts that were lost shortly before an upstream went down or restarted.
     *
     * @param upstream the upstream
     * @param nowMillis the current time
     */
    public void onUpstreamDown(UpstreamId upstream, long nowMillis) {
        lostAttempts.removeIf(attempt -> {
            boolean matches = attempt.upstream().equals(upstream)
                    && nowMillis - attempt.lostAtMillis() <= DETECTION_WINDOW_MILLIS;
            if (matches) {
                history.onCrash(
                        attempt.suspects(), upstream, attempt.sentAtMillis(), attempt.lostAtMillis(), nowMillis);
                crashListener.accept(attempt);
            }
            return matches;
        });
    }
}
