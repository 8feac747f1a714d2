package org.cactusshift.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;

/**
 * An outcome that a trace expects of the standard policy.
 *
 * @param measure the name of the measure, one of the constants of {@link PolicyResult}
 * @param against the policy whose value is the divisor, or {@code best_baseline}; empty to check the value itself
 * @param atLeast the lower bound; empty for none
 * @param atMost the upper bound; empty for none
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record ExpectedOutcome(
        String measure, Optional<String> against, Optional<Double> atLeast, Optional<Double> atMost) {
    /** The name that denotes the baseline policy with the highest value, also for measures where less is better. */
    public static final String BEST_BASELINE = "best_baseline";

    static ExpectedOutcome atLeast(String measure, double value) {
        return new ExpectedOutcome(measure, Optional.empty(), Optional.of(value), Optional.empty());
    }

    static ExpectedOutcome atMost(String measure, double value) {
        return new ExpectedOutcome(measure, Optional.empty(), Optional.empty(), Optional.of(value));
    }

    static ExpectedOutcome atLeastRatio(String measure, String against, double ratio) {
        return new ExpectedOutcome(measure, Optional.of(against), Optional.of(ratio), Optional.empty());
    }

    static ExpectedOutcome atMostRatio(String measure, String against, double ratio) {
        return new ExpectedOutcome(measure, Optional.of(against), Optional.empty(), Optional.of(ratio));
    }
}
