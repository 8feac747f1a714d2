package org.cactusshift.internal.coordination.claim;

import java.util.Optional;

/**
 * The result of a claim.
 *
 * @param verdict whether the call may be dispatched
 * @param outcome the recorded outcome, if the call was made before
 */
public record ClaimResult(Verdict verdict, Optional<CallOutcome> outcome) {
    /** Whether a claimed call may be dispatched. */
    public enum Verdict {
        /** The claim is durable; the call may be dispatched once. */
        GRANTED,
        /** The call was made before and its outcome is known. */
        REPEATED,
        /** The call was claimed before and its outcome is not known. */
        OPEN,
        /** The idempotency key was used before with a different method, path or body. */
        BODY_MISMATCH,
        /** The claim could not be made durable in time and is withdrawn; the call has not run. */
        UNAVAILABLE
    }

    /**
     * Returns a result without outcome.
     *
     * @param verdict the verdict
     * @return the result
     */
    public static ClaimResult of(Verdict verdict) {
        return new ClaimResult(verdict, Optional.empty());
    }
}
