package org.cactusshift.internal.transport.relay;

import java.util.OptionalDouble;
import org.cactusshift.internal.coordination.limits.UpstreamLimitReport;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CrashDetector;

/** Logs crashes of upstreams and changes of their request limits, as this node and its peers see them. */
record UpstreamIncidentLog(
        EventLog log, RelayClock clock, CrashHistory crashHistory, UpstreamRequestLimits upstreamLimits) {
    void onCrash(CrashDetector.LostAttempt attempt) {
        long now = clock.monotonicMillis();
        log.event("upstream.crashed")
                .with("upstream", attempt.upstream().value())
                .with("suspects", attempt.suspects())
                .with("lostMillisAgo", now - attempt.lostAtMillis())
                .with(
                        "crashes",
                        attempt.suspects().stream()
                                .map(suspect -> crashHistory.crashCount(suspect, now))
                                .toList())
                .write();
    }

    /** Records a limit that a peer reports. */
    void onLimitReport(UpstreamLimitReport report) {
        UpstreamRequestLimits.Change change = upstreamLimits.onReport(report, clock.monotonicMillis());
        if (change != UpstreamRequestLimits.Change.NONE) {
            OptionalDouble limit = report.requestsPerSecond();
            log.event("upstream.limitReported")
                    .with("upstream", report.upstream().upstream().value())
                    .with("change", change)
                    .with("perSecond", limit.isPresent() ? limit.getAsDouble() : "-")
                    .with("ageMillis", report.ageMillis())
                    .write();
        }
    }
}
