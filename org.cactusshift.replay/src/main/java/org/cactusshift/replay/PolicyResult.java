package org.cactusshift.replay;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What one policy made of a trace.
 *
 * @param policy the policy
 * @param measures the measures by name
 * @param refusals refusals by reason
 * @param kinds what became of each kind of work
 * @param accounts what became of the requests of each account
 * @param timeline the measures over time
 */
public record PolicyResult(
        String policy,
        Map<String, Double> measures,
        Map<String, Long> refusals,
        Map<String, Tally> kinds,
        Map<String, Tally> accounts,
        List<TimelinePoint> timeline) {
    /** Requests answered whole, within their deadline, once. */
    public static final String GOODPUT = "goodput";
    /** Requests of the trace. */
    public static final String REQUESTS = "requests";
    /** The share of requests that count as goodput. */
    public static final String GOODPUT_SHARE = "goodput_share";
    /** The least goodput share of an account that doesn't flood, over the mean of those accounts. */
    public static final String WORST_ACCOUNT = "worst_account";
    /** Role changes made. */
    public static final String ROLE_CHANGES = "role_changes";
    /** The price of the fleet over the trace. */
    public static final String COST = "cost";
    /** Cost over goodput. */
    public static final String COST_PER_GOODPUT = "cost_per_goodput";
    /** The share of goodput that ran on reclaimable upstreams. */
    public static final String RECLAIMABLE_SHARE = "reclaimable_share";
    /** Requests that may not be repeated and were lost with a reclaimed upstream. */
    public static final String HARMED_NON_REPEATABLE = "harmed_non_repeatable";
    /** Requests that may not be repeated and ran more than once. */
    public static final String DUPLICATE_RUNS = "duplicate_runs";
    /** Engines crashed by the request that crashed the most. */
    public static final String ENGINES_CRASHED_BY_ONE_REQUEST = "engines_crashed_by_one_request";
    /** Requests refused by the quarantine although they crash nothing. */
    public static final String INNOCENTS_REFUSED = "innocents_refused";
    /** Attempts beyond the first of each request, over requests. */
    public static final String RETRY_SHARE = "retry_share";
    /** The 95th percentile of the time to the first token, in milliseconds. */
    public static final String FIRST_TOKEN_P95_MILLIS = "first_token_p95_millis";

    /** Copies the lists. */
    public PolicyResult {
        timeline = List.copyOf(timeline);
    }

    /**
     * Returns a measure.
     *
     * @param name one of the names above
     * @return the value, or empty when it is unknown
     */
    public Optional<Double> measure(String name) {
        return Optional.ofNullable(measures.get(name));
    }

    /**
     * What became of some requests.
     *
     * @param requests requests
     * @param goodput requests answered whole, within their deadline, once
     * @param refused requests that were refused
     * @param late requests that were neither
     */
    public record Tally(long requests, long goodput, long refused, long late) {}

    /**
     * A span of the timeline.
     *
     * @param atMillis its end
     * @param goodput requests that arrived in it and count as goodput
     * @param requests requests that arrived in it
     * @param worstAccount the least goodput share of an account that doesn't flood, over the mean
     * @param prefillEngines engines in the prefill role at its end
     * @param decodeEngines engines in the decode role at its end
     */
    public record TimelinePoint(
            long atMillis, long goodput, long requests, double worstAccount, int prefillEngines, int decodeEngines) {}
}
