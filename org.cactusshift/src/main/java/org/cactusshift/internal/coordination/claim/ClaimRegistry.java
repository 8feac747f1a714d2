package org.cactusshift.internal.coordination.claim;

/** Claims non-repeatable calls before dispatch, over all nodes of the site. */
public interface ClaimRegistry {
    /**
     * Claims a call; blocks until the claim is durable or refused.
     *
     * @param claim the claim
     * @param nowMillis the present time, monotonic
     * @param deadlineMillis the time until which the caller waits, on the same clock
     * @return whether the call may be dispatched
     */
    ClaimResult claim(CallClaim claim, long nowMillis, long deadlineMillis);

    /**
     * Records the outcome of a claimed call so that a repeat receives it.
     *
     * @param claim the claim
     * @param outcome the outcome
     * @param nowMillis the present time, monotonic
     */
    void recordOutcome(CallClaim claim, CallOutcome outcome, long nowMillis);

    /**
     * Withdraws a claim whose call was certainly not sent, so that the caller may try again with the same key.
     *
     * @param claim the claim
     * @param nowMillis the present time, monotonic
     */
    void withdraw(CallClaim claim, long nowMillis);
}
