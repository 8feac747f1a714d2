package org.cactusshift.replay;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The result of replaying a trace under one policy.
 *
 * <p>The numbers of requests, and the measures computed from them, leave out crash-inducing requests. A ratio whose
 * divisor is 0 is reported as 0.
 *
 * @param policy the name of the policy
 * @param measures the measures, by name
 * @param refusals the number of refusals, by the name of the {@code DispatchDecision.Reason}
 * @param kinds the tally of the requests, by kind
 * @param accounts the tally of the requests, by client account
 * @param timeline the measures over time
 */
public record PolicyResult(
        String policy,
        Map<String, Double> measures,
        Map<String, Long> refusals,
        Map<String, Tally> kinds,
        Map<String, Tally> accounts,
        List<TimelinePoint> timeline) {
    /** The number of requests that completed within their deadline; non-repeatable ones count only if they ran once. */
    public static final String GOODPUT = "goodput";
    /** The number of requests in the trace, without crash-inducing ones. */
    public static final String REQUESTS = "requests";
    /** The share of the requests that count as goodput. */
    public static final String GOODPUT_SHARE = "goodput_share";
    /** The lowest goodput share of the client accounts that do not flood, divided by their mean goodput share. */
    public static final String WORST_ACCOUNT = "worst_account";
    /** The number of role changes that were started. */
    public static final String ROLE_CHANGES = "role_changes";
    /**
     * The cost of the fleet over the whole replay, including the time after the trace in which open requests can
     * complete, in the currency of the trace.
     */
    public static final String COST = "cost";
    /** The cost divided by the goodput; 0 when the goodput is 0. */
    public static final String COST_PER_GOODPUT = "cost_per_goodput";
    /** The share of goodput that ran on reclaimable upstreams. */
    public static final String RECLAIMABLE_SHARE = "reclaimable_share";
    /** The number of non-repeatable requests that were lost in a crash or reclaim of a reclaimable upstream. */
    public static final String LOST_NON_REPEATABLE = "harmed_non_repeatable";
    /** The number of non-repeatable requests that ran more than once. */
    public static final String DUPLICATE_RUNS = "duplicate_runs";
    /** The largest number of engine crashes caused by the requests of one fingerprint. */
    public static final String ENGINES_CRASHED_BY_ONE_REQUEST = "engines_crashed_by_one_request";
    /** The number of requests that were refused by the quarantine although they do not crash engines. */
    public static final String FALSE_QUARANTINE_REFUSALS = "innocents_refused";
    /** The number of retries divided by the number of requests. */
    public static final String RETRY_SHARE = "retry_share";
    /**
     * The 95th percentile of the time from the arrival to the first token, in milliseconds, over the requests with at
     * least one token; 0 when there is none.
     */
    public static final String FIRST_TOKEN_P95_MILLIS = "first_token_p95_millis";

    /** Copies the timeline. */
    public PolicyResult {
        timeline = List.copyOf(timeline);
    }

    /**
     * Returns a measure.
     *
     * @param name the name, one of the constants of this class
     * @return the value, or empty if there is no such measure
     */
    public Optional<Double> measure(String name) {
        return Optional.ofNullable(measures.get(name));
    }

    /**
     * The outcomes of a group of requests.
     *
     * @param requests the number of requests
     * @param goodput the number of requests that count as goodput
     * @param refused the number of refused requests
     * @param late the number of requests that neither count as goodput nor were refused: late or failed, or
     *     non-repeatable ones that ran more than once
     */
    public record Tally(long requests, long goodput, long refused, long late) {}

    /**
     * A step of the timeline.
     *
     * @param atMillis the end of the step, in milliseconds after the start of the trace
     * @param goodput the number of requests that arrived in the step and count as goodput
     * @param requests the number of requests that arrived in the step
     * @param worstAccount the value of {@link #WORST_ACCOUNT} for these requests
     * @param prefillEngines the number of engines in the prefill role at the end of the step
     * @param decodeEngines the number of engines in the decode role at the end of the step
     */
    public record TimelinePoint(
            long atMillis, long goodput, long requests, double worstAccount, int prefillEngines, int decodeEngines) {}
}
