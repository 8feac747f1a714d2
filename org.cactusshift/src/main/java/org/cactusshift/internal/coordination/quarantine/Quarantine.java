package org.cactusshift.internal.coordination.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cactusshift.id.UpstreamId;

/**
 * Counts the upstream crashes that a fingerprint was present at.
 *
 * <p>After one crash a fingerprint is suspect: it may run again alone. All requests that shared the upstream are
 * suspect with the guilty one; each is cleared by completing alone. After a second crash a fingerprint is refused for
 * a stated time. Nodes exchange what they saw themselves, and each adds the sum of the others to its own count.
 */
public final class Quarantine {
    private static final int REFUSED_CRASHES = 2;
    private static final long REMOTE_ACTIVE_MILLIS = 5_000;

    private final long refusalMillis;
    private final Map<Long, Suspicion> suspicions = new HashMap<>();

    private Quarantine(long refusalMillis) {
        this.refusalMillis = refusalMillis;
    }

    /** How a fingerprint is to be treated. */
    public enum Verdict {
        /** Runs like any other. */
        CLEAR,
        /** Runs alone on an upstream, and never on the last one. */
        SUSPECT,
        /** Does not run. */
        REFUSED
    }

    private static final class Suspicion {
        final Map<UpstreamId, Long> crashes = new HashMap<>();
        int ownCrashes;
        int remoteCrashes;
        long lastMillis;
        long ownLastMillis;
        long remoteHeardMillis = Long.MIN_VALUE / 2;

        int total() {
            return ownCrashes + remoteCrashes;
        }
    }

    /**
     * Returns an empty quarantine.
     *
     * @param refusalMillis the time after the last crash for which a fingerprint is remembered
     * @return the quarantine
     */
    public static Quarantine create(long refusalMillis) {
        return new Quarantine(refusalMillis);
    }

    /**
     * Returns how a fingerprint is to be treated.
     *
     * @param fingerprint the fingerprint
     * @param nowMillis the present time
     * @return the verdict
     */
    public Verdict verdict(long fingerprint, long nowMillis) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null || isOver(suspicion, nowMillis)) {
            return Verdict.CLEAR;
        }
        return suspicion.total() >= REFUSED_CRASHES ? Verdict.REFUSED : Verdict.SUSPECT;
    }

    /**
     * Returns how long a fingerprint is still remembered.
     *
     * @param fingerprint the fingerprint
     * @param nowMillis the present time
     * @return the time in milliseconds, 0 when it is clear
     */
    public long remainingMillis(long fingerprint, long nowMillis) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null ? 0 : Math.max(0, suspicion.lastMillis + refusalMillis - nowMillis);
    }

    /**
     * Counts a crash of an upstream on which a fingerprint was present. Several attempts with one fingerprint on the
     * same crash count once.
     *
     * @param fingerprint the fingerprint
     * @param upstream the upstream that crashed
     * @param sentAtMillis when the attempt was sent; one sent before the last crash was lost with it
     * @param nowMillis the present time
     */
    public void onCrash(long fingerprint, UpstreamId upstream, long sentAtMillis, long nowMillis) {
        Suspicion suspicion = live(fingerprint, nowMillis);
        Long seenMillis = suspicion.crashes.put(upstream, nowMillis);
        suspicion.lastMillis = nowMillis;
        suspicion.ownLastMillis = nowMillis;
        if (seenMillis == null || sentAtMillis > seenMillis) {
            suspicion.ownCrashes++;
        }
    }

    /**
     * Clears a fingerprint that completed alone on an upstream.
     *
     * @param fingerprint the fingerprint
     */
    public void onCompletedAlone(long fingerprint) {
        suspicions.remove(fingerprint);
    }

    /**
     * Takes what other nodes saw.
     *
     * @param fingerprint the fingerprint
     * @param crashes the crashes that all other nodes saw, added up
     * @param nowMillis the present time
     */
    public void onRemoteCrashes(long fingerprint, int crashes, long nowMillis) {
        if (crashes <= 0) {
            return;
        }
        Suspicion suspicion = live(fingerprint, nowMillis);
        suspicion.remoteHeardMillis = nowMillis;
        if (crashes > suspicion.remoteCrashes) {
            suspicion.remoteCrashes = crashes;
            suspicion.lastMillis = nowMillis;
        }
    }

    /**
     * Returns what this node saw, for the other nodes.
     *
     * @param nowMillis the present time
     * @return the suspects, in the order of their fingerprints
     */
    public List<SuspectReport> localSuspects(long nowMillis) {
        List<SuspectReport> reports = new ArrayList<>();
        suspicions.forEach((fingerprint, suspicion) -> {
            if (suspicion.ownCrashes > 0 && !isOver(suspicion, nowMillis)) {
                reports.add(new SuspectReport(fingerprint, suspicion.ownCrashes, nowMillis - suspicion.ownLastMillis));
            }
        });
        reports.sort(Comparator.comparingLong(SuspectReport::fingerprint));
        return reports;
    }

    /**
     * Returns the suspects that are to be tried somewhere, own and others', the same at all nodes once they have
     * exchanged what they saw.
     *
     * @param nowMillis the present time
     * @return their fingerprints in ascending order
     */
    public List<Long> activeSuspects(long nowMillis) {
        return suspicions.entrySet().stream()
                .filter(entry -> entry.getValue().total() < REFUSED_CRASHES && !isOver(entry.getValue(), nowMillis))
                .filter(entry -> entry.getValue().ownCrashes > 0
                        || nowMillis - entry.getValue().remoteHeardMillis <= REMOTE_ACTIVE_MILLIS)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * Returns the time since this node saw a crash of a fingerprint.
     *
     * @param fingerprint the fingerprint
     * @param nowMillis the present time
     * @return milliseconds, or {@link Long#MAX_VALUE} when it saw none
     */
    public long millisSinceLocalCrash(long fingerprint, long nowMillis) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null || suspicion.ownCrashes == 0 ? Long.MAX_VALUE : nowMillis - suspicion.ownLastMillis;
    }

    /**
     * Forgets what is over.
     *
     * @param nowMillis the present time
     * @return the fingerprints forgotten
     */
    public Set<Long> expire(long nowMillis) {
        Set<Long> over = new HashSet<>();
        suspicions.forEach((fingerprint, suspicion) -> {
            if (isOver(suspicion, nowMillis)) {
                over.add(fingerprint);
            }
        });
        suspicions.keySet().removeAll(over);
        return over;
    }

    private Suspicion live(long fingerprint, long nowMillis) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null || isOver(suspicion, nowMillis)) {
            suspicion = new Suspicion();
            suspicions.put(fingerprint, suspicion);
        }
        return suspicion;
    }

    private boolean isOver(Suspicion suspicion, long nowMillis) {
        return nowMillis - suspicion.lastMillis >= refusalMillis;
    }
}
