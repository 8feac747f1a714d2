package org.cactusshift.replay;

import java.util.List;

/**
 * The header of a trace, which is its first line.
 *
 * @param version the version of the trace file format, {@link Trace#FORMAT_VERSION}
 * @param name the name of the trace
 * @param site the name of the site that the trace describes
 * @param nodes the number of nodes
 * @param durationMillis the duration of the trace, in milliseconds; no event is later
 * @param reportPeriodMillis the interval of load reports, in milliseconds
 * @param reportLagMillis the age of a load report on arrival, in milliseconds
 * @param summaryPeriodMillis the interval at which nodes exchange their token totals by client account and their
 *     crash suspects, in milliseconds
 * @param roleChangeMillis the time for which a role change takes an engine out of service, in milliseconds
 * @param orderArrivalMillis the time from ordering an upstream until it serves, in milliseconds
 * @param services the services
 * @param accounts the client accounts
 * @param upstreams the upstreams at the start
 * @param outcomes the outcomes that are expected of the standard policy
 */
public record TraceHeader(
        int version,
        String name,
        String site,
        int nodes,
        long durationMillis,
        long reportPeriodMillis,
        long reportLagMillis,
        long summaryPeriodMillis,
        long roleChangeMillis,
        long orderArrivalMillis,
        List<TraceService> services,
        List<TraceAccount> accounts,
        List<TraceUpstream> upstreams,
        List<ExpectedOutcome> outcomes) {
    /** Copies the lists. */
    public TraceHeader {
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
        upstreams = List.copyOf(upstreams);
        outcomes = List.copyOf(outcomes);
    }
}
