package org.cactusshift.internal.coordination.dispatch;

import java.util.List;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.quarantine.CrashReports;
import org.cactusshift.internal.coordination.quarantine.CrashSuspect;

/**
 * Refuses requests with a prompt part that crashes upstreams, whatever else the requests contain. Not thread-safe.
 */
public final class PromptPartQuarantine {
    /** How long a crash counts; shorter than against a request, as other requests have the part too. */
    private static final long RETENTION_MILLIS = 120_000;

    /** How long a crash is reported to other nodes in each heartbeat while its part is not refused. */
    private static final long REPORT_MILLIS = 10_000;

    private final CrashHistory history = CrashHistory.create(RETENTION_MILLIS);

    PromptPartQuarantine() {}

    private static List<CrashSuspect> parts(DispatchRequest request) {
        return CrashSuspect.promptParts(request.sharedPartHashes());
    }

    boolean isRefused(DispatchRequest request, long nowMillis) {
        return parts(request).stream().anyMatch(part -> history.isRefused(part, nowMillis));
    }

    void onCrash(DispatchRequest request, UpstreamId upstream, long sentAtMillis, long nowMillis) {
        history.onCrash(parts(request), upstream, sentAtMillis, nowMillis, nowMillis);
    }

    void onCompleted(DispatchRequest request, long sentAtMillis, long nowMillis) {
        parts(request).forEach(part -> history.onCompleted(part, sentAtMillis, nowMillis));
    }

    void onReports(CrashReports reports, long nowMillis) {
        reports.crashes().forEach(report -> history.onReport(report, nowMillis));
        reports.completions().forEach(report -> history.onReport(report, nowMillis));
    }

    CrashReports reports(long nowMillis) {
        return new CrashReports(
                history.reports(REPORT_MILLIS, nowMillis), history.completionReports(REPORT_MILLIS, nowMillis));
    }

    void expire(long nowMillis) {
        history.expire(nowMillis);
    }
}
