package org.cactusshift.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;

/**
 * What a trace demands of the standard policy.
 *
 * @param measure the measure, one of the names in {@link PolicyResult#measure}
 * @param against the policy that the value is divided by, or {@code best_baseline}; empty for the value itself
 * @param atLeast the lower bound, or empty
 * @param atMost the upper bound, or empty
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record ExpectedOutcome(
        String measure, Optional<String> against, Optional<Double> atLeast, Optional<Double> atMost) {
    /** The name that stands for the baseline with the highest value. */
    public static final String BEST_BASELINE = "best_baseline";

    static ExpectedOutcome atLeast(String measure, double value) {
        return new ExpectedOutcome(measure, Optional.empty(), Optional.of(value), Optional.empty());
    }

    static ExpectedOutcome atMost(String measure, double value) {
        return new ExpectedOutcome(measure, Optional.empty(), Optional.empty(), Optional.of(value));
    }

    static ExpectedOutcome atLeastOf(String measure, String against, double ratio) {
        return new ExpectedOutcome(measure, Optional.of(against), Optional.of(ratio), Optional.empty());
    }

    static ExpectedOutcome atMostOf(String measure, String against, double ratio) {
        return new ExpectedOutcome(measure, Optional.of(against), Optional.empty(), Optional.of(ratio));
    }
}
