package org.cactusshift.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The report of a replay.
 *
 * @param trace the name of the trace
 * @param seed the seed
 * @param results the results, in the order in which the policies were given
 * @param checks the checks of the expected outcomes
 */
public record ReplayReport(String trace, long seed, List<PolicyResult> results, List<OutcomeCheck> checks) {
    /** The width of the column of policy names and of verdicts. */
    private static final int FIRST_COLUMN_CHARS = 18;

    private static final List<String> COLUMNS = List.of(
            PolicyResult.GOODPUT,
            PolicyResult.GOODPUT_SHARE,
            PolicyResult.WORST_ACCOUNT,
            PolicyResult.ROLE_CHANGES,
            PolicyResult.COST,
            PolicyResult.RECLAIMABLE_SHARE,
            PolicyResult.ENGINES_CRASHED_BY_ONE_REQUEST,
            PolicyResult.FALSE_QUARANTINE_REFUSALS,
            PolicyResult.FIRST_TOKEN_P95_MILLIS);

    /** Copies the lists. */
    public ReplayReport {
        results = List.copyOf(results);
        checks = List.copyOf(checks);
    }

    static ReplayReport create(Trace trace, long seed, List<PolicyResult> results) {
        List<OutcomeCheck> checks = trace.header().outcomes().stream()
                .map(outcome -> check(outcome, results))
                .toList();
        return new ReplayReport(trace.header().name(), seed, results, checks);
    }

    private static OutcomeCheck check(ExpectedOutcome outcome, List<PolicyResult> results) {
        Optional<Double> value = value(results, ReplayPolicy.STANDARD, outcome.measure());
        Optional<Double> actual = outcome.against().isEmpty()
                ? value
                : value.flatMap(own -> referenceValue(outcome, results).map(other -> ratio(own, other)));
        Optional<Boolean> met = actual.map(
                measured -> outcome.atLeast().map(bound -> measured >= bound).orElse(true)
                        && outcome.atMost().map(bound -> measured <= bound).orElse(true));
        return new OutcomeCheck(outcome, actual.map(measured -> Math.round(measured * 10_000) / 10_000.0), met);
    }

    /**
     * Returns the value that an outcome is compared with; for the best baseline the highest of all baselines, or empty
     * if one of them has no value.
     */
    private static Optional<Double> referenceValue(ExpectedOutcome outcome, List<PolicyResult> results) {
        String against = outcome.against().orElseThrow();
        if (!against.equals(ExpectedOutcome.BEST_BASELINE)) {
            return value(results, against, outcome.measure());
        }
        List<ReplayPolicy> baselines = ReplayPolicy.all().stream()
                .filter(policy -> policy.kind() == ReplayPolicy.Kind.BASELINE)
                .toList();
        List<Double> values = new ArrayList<>();
        baselines.forEach(
                policy -> value(results, policy.name(), outcome.measure()).ifPresent(values::add));
        return values.size() < baselines.size()
                ? Optional.empty()
                : values.stream().max(Double::compare);
    }

    private static Optional<Double> value(List<PolicyResult> results, String policy, String measure) {
        return results.stream()
                .filter(result -> result.policy().equals(policy))
                .findFirst()
                .flatMap(result -> result.measure(measure));
    }

    private static double ratio(double own, double other) {
        if (other == 0) {
            // The maximum stands for an infinite ratio.
            return own == 0 ? 0 : Double.MAX_VALUE;
        }
        return own / other;
    }

    /**
     * Returns whether all expected outcomes that could be checked were met.
     *
     * @return false if at least one was not met
     */
    public boolean isMet() {
        return checks.stream().allMatch(check -> check.met().orElse(true));
    }

    /**
     * Returns the report as JSON; the same trace, policies and seed give the same bytes.
     *
     * @return one JSON object without a line break
     */
    public String toJson() {
        try {
            return TraceJson.MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not write the report as JSON", e);
        }
    }

    /**
     * Returns the report as text: a table of the policies, then the expected outcomes.
     *
     * @return the text, with a line break at its end
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        text.append(trace).append(", seed ").append(seed).append('\n');
        text.append(pad("policy"));
        COLUMNS.forEach(column -> text.append("  ").append(column));
        text.append('\n');
        for (PolicyResult result : results) {
            text.append(pad(result.policy()));
            for (String column : COLUMNS) {
                double value = result.measure(column).orElse(0.0);
                text.append("  ").append(String.format(Locale.ROOT, "%" + column.length() + ".3f", value));
            }
            text.append('\n');
        }
        checks.forEach(check -> text.append(checkLine(check)).append('\n'));
        return text.toString();
    }

    private static String checkLine(OutcomeCheck check) {
        ExpectedOutcome outcome = check.outcome();
        String verdict = check.met().map(met -> met ? "met" : "NOT MET").orElse("not checked");
        String against = outcome.against().map(other -> " over " + other).orElse("");
        String bound = outcome.atLeast().map(least -> " at least " + least).orElse("")
                + outcome.atMost().map(most -> " at most " + most).orElse("");
        String actual = check.actual().map(value -> ": " + value).orElse("");
        return pad(verdict) + outcome.measure() + against + bound + actual;
    }

    private static String pad(String text) {
        return String.format(Locale.ROOT, "%-" + FIRST_COLUMN_CHARS + "s", text);
    }
}
