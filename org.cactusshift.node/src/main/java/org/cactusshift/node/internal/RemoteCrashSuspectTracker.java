package org.cactusshift.node.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.messages.SuspectFingerprint;

/**
 * Sums, over all peers, the upstream crashes that they report for each crash suspect: a request, identified by its
 * fingerprint, that was on an upstream as it crashed. Thread-safe.
 */
final class RemoteCrashSuspectTracker {
    private final Map<IncarnationId, Map<Long, Integer>> crashesByFingerprintBySender = new HashMap<>();

    private RemoteCrashSuspectTracker() {}

    static RemoteCrashSuspectTracker create() {
        return new RemoteCrashSuspectTracker();
    }

    /** Replaces the report of the sender and returns its fingerprints, each with the crashes that all peers report. */
    synchronized Map<Long, Integer> recordReport(IncarnationId sender, List<SuspectFingerprint> suspects) {
        Map<Long, Integer> reported = new HashMap<>();
        suspects.forEach(suspect -> reported.merge(suspect.getFingerprint(), suspect.getCrashes(), Integer::sum));
        crashesByFingerprintBySender.put(sender, reported);
        Map<Long, Integer> sums = new HashMap<>();
        reported.keySet().forEach(fingerprint -> sums.put(fingerprint, totalCrashes(fingerprint)));
        return sums;
    }

    synchronized void removeSender(IncarnationId sender) {
        crashesByFingerprintBySender.remove(sender);
    }

    private int totalCrashes(long fingerprint) {
        return crashesByFingerprintBySender.values().stream()
                .mapToInt(reported -> reported.getOrDefault(fingerprint, 0))
                .sum();
    }
}
