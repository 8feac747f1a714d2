package org.cactusshift.internal.coordination.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.id.UpstreamId;

/**
 * The crashes of upstreams during attempts of suspects, as observed by this node or reported by others, and the
 * decision whether requests of a suspect are refused.
 *
 * <p>Crashes count one after another: an attempt that was sent before the last counted crash does not count. So
 * upstreams that crash at the same time, for whatever reason, count once, and so does a crash that several nodes
 * observed.
 *
 * <p>A crash-inducing request crashes each upstream that runs it. So an attempt that is completed clears its suspect of
 * the crashes before the attempt was sent.
 *
 * <p>Nodes report all that they know, not only what they observed themselves, so that a report reaches a node that has
 * no contact with the observer or started after it was lost. The earliest times of a crash are kept, so reports may
 * arrive in any order, several times and by any way.
 *
 * <p>Not thread-safe.
 */
public final class CrashHistory {
    /** Crashes of one upstream that are less than this apart are the same one; a restart takes longer. */
    private static final long SAME_CRASH_MILLIS = 5_000;

    /** The maximum number of crashes that are kept for a suspect; the oldest are dropped. */
    private static final int MAXIMUM_CRASHES = 8;

    /** The maximum number of suspects; those without a new crash for longest are dropped. */
    private static final int MAXIMUM_SUSPECTS = 4_096;

    /** The maximum number of reports of a kind in one message, so that it fits into a datagram. */
    private static final int MAXIMUM_REPORTS = 64;

    private final long retentionMillis;

    /** In the order of the last change. */
    private final LinkedHashMap<CrashSuspect, Entry> entryBySuspect = new LinkedHashMap<>();

    private CrashHistory(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    private record Crash(UpstreamId upstream, long sentAtMillis, long lostAtMillis) {
        boolean isSameAs(Crash other) {
            return upstream.equals(other.upstream) && Math.abs(lostAtMillis - other.lostAtMillis) < SAME_CRASH_MILLIS;
        }

        Crash earliest(Crash other) {
            return new Crash(
                    upstream, Math.min(sentAtMillis, other.sentAtMillis), Math.min(lostAtMillis, other.lostAtMillis));
        }
    }

    private static final class Entry {
        /** In ascending order of the time of the loss. */
        final List<Crash> crashes = new ArrayList<>();

        /** When the latest completed attempt was sent. */
        long completedSentAtMillis = Long.MIN_VALUE;

        long changedAtMillis;

        /** Records a completed attempt; returns whether it clears the suspect of a crash. */
        boolean onCompleted(long sentAtMillis) {
            completedSentAtMillis = Math.max(completedSentAtMillis, sentAtMillis);
            return crashes.removeIf(crash -> crash.lostAtMillis() <= completedSentAtMillis);
        }

        /** Adds a crash or merges it with the same one; returns whether it is new. */
        boolean add(Crash crash) {
            boolean isNew = true;
            Crash merged = crash;
            for (Iterator<Crash> known = crashes.iterator(); known.hasNext(); ) {
                Crash other = known.next();
                if (other.isSameAs(merged)) {
                    merged = merged.earliest(other);
                    known.remove();
                    isNew = false;
                }
            }
            crashes.add(merged);
            crashes.sort(Comparator.comparingLong(Crash::lostAtMillis));
            if (crashes.size() > MAXIMUM_CRASHES) {
                crashes.remove(0);
            }
            return isNew;
        }

        int consecutiveCrashes() {
            int count = 0;
            long lastLostAtMillis = Long.MIN_VALUE;
            for (Crash crash : crashes) {
                if (crash.sentAtMillis() > lastLostAtMillis) {
                    count++;
                    lastLostAtMillis = crash.lostAtMillis();
                }
            }
            return count;
        }
    }

    /**
     * Returns an empty history.
     *
     * @param retentionMillis how long a crash counts, in milliseconds
     * @return the history
     */
    public static CrashHistory create(long retentionMillis) {
        return new CrashHistory(retentionMillis);
    }

    /**
     * Records a crash that this node observed: against those suspects that are refused already if there are any, as
     * they explain it, otherwise against all.
     *
     * @param suspects the suspects of the attempt that was lost
     * @param upstream the upstream that crashed
     * @param sentAtMillis when the attempt was sent
     * @param lostAtMillis when the attempt was lost
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void onCrash(
            List<CrashSuspect> suspects, UpstreamId upstream, long sentAtMillis, long lostAtMillis, long nowMillis) {
        List<CrashSuspect> refused = suspects.stream()
                .filter(suspect -> isRefused(suspect, nowMillis))
                .toList();
        Crash crash = new Crash(upstream, sentAtMillis, lostAtMillis);
        (refused.isEmpty() ? suspects : refused).forEach(suspect -> add(suspect, crash, nowMillis));
    }

    /**
     * Records a crash that another node reported.
     *
     * @param report the report
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void onReport(CrashReport report, long nowMillis) {
        Crash crash =
                new Crash(report.upstream(), nowMillis - report.sentAgeMillis(), nowMillis - report.lostAgeMillis());
        add(report.suspect(), crash, nowMillis);
    }

    /**
     * Records that an attempt was completed, by this node.
     *
     * @param suspect the suspect
     * @param sentAtMillis when the attempt was sent
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void onCompleted(CrashSuspect suspect, long sentAtMillis, long nowMillis) {
        Entry entry = entryBySuspect.get(suspect);
        if (entry != null && entry.onCompleted(sentAtMillis)) {
            entry.changedAtMillis = nowMillis;
        }
    }

    /**
     * Records that an attempt was completed, as another node reported.
     *
     * @param report the report
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void onReport(CompletionReport report, long nowMillis) {
        onCompleted(report.suspect(), nowMillis - report.sentAgeMillis(), nowMillis);
    }

    private void add(CrashSuspect suspect, Crash crash, long nowMillis) {
        if (isExpired(crash, nowMillis)) {
            return;
        }
        Entry entry = entryBySuspect.get(suspect);
        if (entry == null) {
            entry = new Entry();
            entryBySuspect.put(suspect, entry);
        }
        if (crash.lostAtMillis() <= entry.completedSentAtMillis) {
            // The reporting node does not know of the completed attempt yet.
            entry.changedAtMillis = nowMillis;
        } else if (entry.add(crash)) {
            entry.changedAtMillis = nowMillis;
            entryBySuspect.remove(suspect);
            entryBySuspect.put(suspect, entry);
        }
        if (entryBySuspect.size() > MAXIMUM_SUSPECTS) {
            entryBySuspect.remove(entryBySuspect.keySet().iterator().next());
        }
    }

    /**
     * Returns how many crashes count against a suspect.
     *
     * @param suspect the suspect
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the number of crashes one after another within the retention time
     */
    public int crashCount(CrashSuspect suspect, long nowMillis) {
        Entry entry = entryBySuspect.get(suspect);
        if (entry == null) {
            return 0;
        }
        entry.crashes.removeIf(crash -> isExpired(crash, nowMillis));
        return entry.consecutiveCrashes();
    }

    /**
     * Returns whether requests of a suspect are refused.
     *
     * @param suspect the suspect
     * @param nowMillis the current monotonic time, in milliseconds
     * @return whether enough crashes count against it
     */
    public boolean isRefused(CrashSuspect suspect, long nowMillis) {
        return crashCount(suspect, nowMillis) >= suspect.kind().refusalCrashCount();
    }

    /**
     * Returns the suspects whose requests are refused.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the suspects, the one that changed first at the head
     */
    public List<CrashSuspect> refused(long nowMillis) {
        return entryBySuspect.keySet().stream()
                .filter(suspect -> isRefused(suspect, nowMillis))
                .toList();
    }

    /**
     * Returns the number of suspects with at least one crash.
     *
     * @return the number of suspects, refused or not
     */
    public long suspectCount() {
        return entryBySuspect.values().stream()
                .filter(entry -> !entry.crashes.isEmpty())
                .count();
    }

    /**
     * Returns the crashes to be reported to other nodes: those of refused suspects, then those of suspects that changed
     * recently, the newest first.
     *
     * @param recentMillis how long a suspect that is not refused is reported after its last change, in milliseconds
     * @param nowMillis the current monotonic time, in milliseconds
     * @return a limited number of reports
     */
    public List<CrashReport> reports(long recentMillis, long nowMillis) {
        List<CrashSuspect> refused = new ArrayList<>();
        List<CrashSuspect> recent = new ArrayList<>();
        for (Map.Entry<CrashSuspect, Entry> known : entryBySuspect.entrySet()) {
            if (isRefused(known.getKey(), nowMillis)) {
                refused.add(0, known.getKey());
            } else if (nowMillis - known.getValue().changedAtMillis <= recentMillis) {
                recent.add(0, known.getKey());
            }
        }
        refused.addAll(recent);
        return refused.stream()
                .flatMap(suspect -> entryBySuspect.get(suspect).crashes.stream()
                        .map(crash -> new CrashReport(
                                suspect,
                                crash.upstream(),
                                nowMillis - crash.sentAtMillis(),
                                nowMillis - crash.lostAtMillis())))
                .limit(MAXIMUM_REPORTS)
                .toList();
    }

    /**
     * Returns the completed attempts to be reported to other nodes, the newest first.
     *
     * @param recentMillis how long a completed attempt is reported after it cleared its suspect of a crash, in
     *     milliseconds
     * @param nowMillis the current monotonic time, in milliseconds
     * @return a limited number of reports
     */
    public List<CompletionReport> completionReports(long recentMillis, long nowMillis) {
        List<CompletionReport> reports = new ArrayList<>();
        entryBySuspect.forEach((suspect, entry) -> {
            if (entry.completedSentAtMillis != Long.MIN_VALUE && nowMillis - entry.changedAtMillis <= recentMillis) {
                reports.add(0, new CompletionReport(suspect, nowMillis - entry.completedSentAtMillis));
            }
        });
        return reports.stream().limit(MAXIMUM_REPORTS).toList();
    }

    /**
     * Removes suspects without a crash and without a completed attempt within the retention time.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void expire(long nowMillis) {
        entryBySuspect.values().removeIf(entry -> {
            entry.crashes.removeIf(crash -> isExpired(crash, nowMillis));
            return entry.crashes.isEmpty() && nowMillis - entry.changedAtMillis >= retentionMillis;
        });
    }

    private boolean isExpired(Crash crash, long nowMillis) {
        return nowMillis - crash.lostAtMillis() >= retentionMillis;
    }
}
