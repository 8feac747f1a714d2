package org.cactusshift.internal.coordination.quarantine;

import java.util.List;

/**
 * What a node reports of its {@link CrashHistory} to another one.
 *
 * @param crashes crashes of upstreams
 * @param completions completed attempts, which clear their suspects of earlier crashes
 */
public record CrashReports(List<CrashReport> crashes, List<CompletionReport> completions) {
    /** Reports nothing. */
    public static final CrashReports NONE = new CrashReports(List.of(), List.of());

    /** Makes defensive copies. */
    public CrashReports {
        crashes = List.copyOf(crashes);
        completions = List.copyOf(completions);
    }
}
