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
 * Counts, for each request fingerprint, the upstream crashes during which such a request was open, and decides whether
 * requests with the fingerprint may run.
 *
 * <p>After one crash a fingerprint is suspect: requests with it may run only alone on an upstream. All requests that
 * shared the upstream become suspects together with the crash-inducing one; each is cleared by completing alone. After
 * a second crash requests with the fingerprint are refused for a configured time. Nodes exchange the crashes that they
 * observed themselves, and each adds the largest number that {@link #onRemoteCrashes} received to its own count.
 *
 * <p>Not thread-safe.
 */
public final class Quarantine {
    /** The number of crashes from which on requests with the fingerprint are refused. */
    private static final int REFUSAL_CRASH_COUNT = 2;

    /** How long after the last report of other nodes a suspect that this node did not observe is active. */
    private static final long REMOTE_REPORT_VALID_MILLIS = 5_000;

    private final long retentionMillis;
    private final Map<Long, CrashRecord> crashRecordByFingerprint = new HashMap<>();

    private Quarantine(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** How requests with a fingerprint are treated. */
    public enum Verdict {
        /** Runs without restriction. */
        CLEAR,
        /** Runs alone on an upstream, and never on the last working upstream. */
        SUSPECT,
        /** Is refused. */
        REFUSED
    }

    private static final class CrashRecord {
        final Map<UpstreamId, Long> lastCrashMillisByUpstream = new HashMap<>();
        int localCrashes;
        int remoteCrashes;
        /** When this node last observed a crash, or learned of more remote ones; the retention time starts then. */
        long lastCrashMillis;

        long lastLocalCrashMillis;
        /** Initially far in the past; halved so that its difference to the current time does not overflow. */
        long lastRemoteReportMillis = Long.MIN_VALUE / 2;

        int totalCrashes() {
            return localCrashes + remoteCrashes;
        }
    }

    /**
     * Returns an empty quarantine.
     *
     * @param retentionMillis how long a fingerprint is retained after this node last observed a crash with it or
     *     learned of more remote ones, in milliseconds
     * @return the quarantine
     */
    public static Quarantine create(long retentionMillis) {
        return new Quarantine(retentionMillis);
    }

    /**
     * Returns how requests with a fingerprint are treated.
     *
     * @param fingerprint the fingerprint
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the verdict
     */
    public Verdict verdict(long fingerprint, long nowMillis) {
        CrashRecord crashRecord = crashRecordByFingerprint.get(fingerprint);
        if (crashRecord == null || isExpired(crashRecord, nowMillis)) {
            return Verdict.CLEAR;
        }
        return crashRecord.totalCrashes() >= REFUSAL_CRASH_COUNT ? Verdict.REFUSED : Verdict.SUSPECT;
    }

    /**
     * Returns the time until the quarantine of a fingerprint ends.
     *
     * @param fingerprint the fingerprint
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the time in milliseconds, 0 when it is clear
     */
    public long remainingMillis(long fingerprint, long nowMillis) {
        CrashRecord crashRecord = crashRecordByFingerprint.get(fingerprint);
        return crashRecord == null ? 0 : Math.max(0, crashRecord.lastCrashMillis + retentionMillis - nowMillis);
    }

    /**
     * Counts a crash of an upstream on which a request with the fingerprint was open. Several attempts with the same
     * fingerprint count as one for the same crash, but each restarts the retention time.
     *
     * @param fingerprint the fingerprint
     * @param upstream the upstream that crashed
     * @param sentAtMillis the monotonic time at which the attempt was sent, in milliseconds; an attempt sent before the
     *     last recorded crash of the upstream belongs to that crash and is not counted again
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void onCrash(long fingerprint, UpstreamId upstream, long sentAtMillis, long nowMillis) {
        CrashRecord crashRecord = activeOrNew(fingerprint, nowMillis);
        Long previousCrashMillis = crashRecord.lastCrashMillisByUpstream.put(upstream, nowMillis);
        crashRecord.lastCrashMillis = nowMillis;
        crashRecord.lastLocalCrashMillis = nowMillis;
        if (previousCrashMillis == null || sentAtMillis > previousCrashMillis) {
            crashRecord.localCrashes++;
        }
    }

    /**
     * Clears a fingerprint after a request with it completed alone on an upstream.
     *
     * @param fingerprint the fingerprint
     */
    public void onCompletedAlone(long fingerprint) {
        crashRecordByFingerprint.remove(fingerprint);
    }

    /**
     * Records the crashes that other nodes observed. The largest number counts; another one above 0 only shows that the
     * fingerprint is still reported.
     *
     * @param fingerprint the fingerprint
     * @param remoteCrashes the number of crashes that other nodes observed; ignored if it is 0 or less
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void onRemoteCrashes(long fingerprint, int remoteCrashes, long nowMillis) {
        if (remoteCrashes <= 0) {
            return;
        }
        CrashRecord crashRecord = activeOrNew(fingerprint, nowMillis);
        crashRecord.lastRemoteReportMillis = nowMillis;
        if (remoteCrashes > crashRecord.remoteCrashes) {
            crashRecord.remoteCrashes = remoteCrashes;
            crashRecord.lastCrashMillis = nowMillis;
        }
    }

    /**
     * Returns the crashes that this node observed itself, by fingerprint, to be reported to other nodes. Fingerprints
     * that are refused are included.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the reports, in the order of their fingerprints
     */
    public List<CrashSuspectReport> localCrashSuspects(long nowMillis) {
        List<CrashSuspectReport> reports = new ArrayList<>();
        crashRecordByFingerprint.forEach((fingerprint, crashRecord) -> {
            if (crashRecord.localCrashes > 0 && !isExpired(crashRecord, nowMillis)) {
                reports.add(new CrashSuspectReport(
                        fingerprint, crashRecord.localCrashes, nowMillis - crashRecord.lastLocalCrashMillis));
            }
        });
        reports.sort(Comparator.comparingLong(CrashSuspectReport::fingerprint));
        return reports;
    }

    /**
     * Returns the suspect fingerprints whose requests should be tested by running alone. Refused ones are not included,
     * nor are those that only other nodes reported and no longer report. The result is the same at all nodes once they
     * have exchanged their observations.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return their fingerprints in ascending order
     */
    public List<Long> activeSuspects(long nowMillis) {
        return crashRecordByFingerprint.entrySet().stream()
                .filter(entry -> entry.getValue().totalCrashes() < REFUSAL_CRASH_COUNT
                        && !isExpired(entry.getValue(), nowMillis))
                .filter(entry -> entry.getValue().localCrashes > 0
                        || nowMillis - entry.getValue().lastRemoteReportMillis <= REMOTE_REPORT_VALID_MILLIS)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * Returns the time since this node last observed a crash with a fingerprint.
     *
     * @param fingerprint the fingerprint
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the time in milliseconds, or {@link Long#MAX_VALUE} when it observed none
     */
    public long millisSinceLocalCrash(long fingerprint, long nowMillis) {
        CrashRecord crashRecord = crashRecordByFingerprint.get(fingerprint);
        return crashRecord == null || crashRecord.localCrashes == 0
                ? Long.MAX_VALUE
                : nowMillis - crashRecord.lastLocalCrashMillis;
    }

    /**
     * Removes fingerprints whose retention time has ended.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the removed fingerprints
     */
    public Set<Long> expire(long nowMillis) {
        Set<Long> expired = new HashSet<>();
        crashRecordByFingerprint.forEach((fingerprint, crashRecord) -> {
            if (isExpired(crashRecord, nowMillis)) {
                expired.add(fingerprint);
            }
        });
        crashRecordByFingerprint.keySet().removeAll(expired);
        return expired;
    }

    private CrashRecord activeOrNew(long fingerprint, long nowMillis) {
        CrashRecord crashRecord = crashRecordByFingerprint.get(fingerprint);
        if (crashRecord == null || isExpired(crashRecord, nowMillis)) {
            crashRecord = new CrashRecord();
            crashRecordByFingerprint.put(fingerprint, crashRecord);
        }
        return crashRecord;
    }

    private boolean isExpired(CrashRecord crashRecord, long nowMillis) {
        return nowMillis - crashRecord.lastCrashMillis >= retentionMillis;
    }
}
