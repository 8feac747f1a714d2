package org.cactusshift.internal.coordination.claim;

/** Claims non-repeatable calls before their dispatch. Claims are shared by all nodes of the site. */
public interface ClaimRegistry {
    /**
     * Claims a call. Blocks until the claim is durable or rejected.
     *
     * @param claim the claim
     * @param nowMillis the current monotonic time
     * @param deadlineMillis the deadline of the request, on the same clock
     * @return whether the call may be dispatched
     */
    ClaimResult claim(CallClaim claim, long nowMillis, long deadlineMillis);

    /**
     * Records the outcome of a claimed call, which is then returned to repeated calls.
     *
     * @param claim the claim
     * @param outcome the outcome
     * @param nowMillis the current monotonic time
     */
    void recordOutcome(CallClaim claim, CallOutcome outcome, long nowMillis);

    /**
     * Withdraws a claim whose call was certainly not sent, so that the caller may retry with the same key.
     *
     * @param claim the claim
     * @param nowMillis the current monotonic time
     */
    void withdraw(CallClaim claim, long nowMillis);
}
