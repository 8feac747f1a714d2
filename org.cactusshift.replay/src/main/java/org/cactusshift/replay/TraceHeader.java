package org.cactusshift.replay;

import java.util.List;

/**
 * The first line of a trace.
 *
 * @param version the version of the format, {@link Trace#VERSION}
 * @param name the name of the trace
 * @param site the site
 * @param nodes entry instances
 * @param durationMillis the time after which no event follows
 * @param reportPeriodMillis the period of load reports
 * @param reportLagMillis the age of a load report when it arrives
 * @param summaryPeriodMillis the period of summaries between nodes
 * @param roleChangeMillis the time that a role change takes an engine out of service
 * @param orderArrivalMillis the time from an order to an upstream that serves
 * @param services the services
 * @param accounts the client accounts
 * @param upstreams the fleet
 * @param outcomes what is demanded of the standard policy
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
