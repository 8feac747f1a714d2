package org.cactusshift.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;

/**
 * An expected outcome and the measured value.
 *
 * @param outcome the expected outcome
 * @param actual the measured value or ratio; empty if a policy that the outcome refers to was not replayed
 * @param met whether the outcome was met; empty if it could not be checked
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record OutcomeCheck(ExpectedOutcome outcome, Optional<Double> actual, Optional<Boolean> met) {}
