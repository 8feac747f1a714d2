package org.cactusshift.node.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.messages.SuspectFingerprint;

/** Sums the crashes that peers report for the fingerprint of each suspect. Thread-safe. */
final class RemoteSuspectTracker {
    private final Map<IncarnationId, Map<Long, Integer>> crashesBySender = new HashMap<>();

    private RemoteSuspectTracker() {}

    static RemoteSuspectTracker create() {
        return new RemoteSuspectTracker();
    }

    /** Replaces the report of the sender and returns its fingerprints, each with the crashes that all peers report. */
    synchronized Map<Long, Integer> recordReport(IncarnationId sender, List<SuspectFingerprint> suspects) {
        Map<Long, Integer> reported = new HashMap<>();
        suspects.forEach(suspect -> reported.merge(suspect.getFingerprint(), suspect.getCrashes(), Integer::sum));
        crashesBySender.put(sender, reported);
        Map<Long, Integer> sums = new HashMap<>();
        reported.keySet().forEach(fingerprint -> sums.put(fingerprint, totalCrashes(fingerprint)));
        return sums;
    }

    synchronized void removeSender(IncarnationId sender) {
        crashesBySender.remove(sender);
    }

    private int totalCrashes(long fingerprint) {
        return crashesBySender.values().stream()
                .mapToInt(reported -> reported.getOrDefault(fingerprint, 0))
                .sum();
    }
}
