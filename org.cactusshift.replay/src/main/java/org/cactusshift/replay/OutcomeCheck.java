package org.cactusshift.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;

/**
 * A stated outcome and what was measured.
 *
 * @param outcome the stated outcome
 * @param actual the measured value or ratio; empty when a policy that it needs was not replayed
 * @param met whether it was met; empty when it could not be checked
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record OutcomeCheck(ExpectedOutcome outcome, Optional<Double> actual, Optional<Boolean> met) {}
