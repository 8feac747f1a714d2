package org.cactusshift.internal.coordination.claim;

/** Claims non-repeatable calls before their dispatch. Claims are shared by all nodes of the site. */
public interface ClaimRegistry {
    /**
     * Claims a call. Blocks until the claim is durable or rejected, at most until the deadline; the verdict is {@link
     * ClaimResult.Verdict#UNAVAILABLE} when neither is known by then.
     *
     * @param claim the claim
     * @param nowMillis the current monotonic time
     * @param deadlineMillis the deadline of the request, on the same clock
     * @return whether the call may be dispatched
     */
    ClaimResult claim(CallClaim claim, long nowMillis, long deadlineMillis);

    /**
     * Queues the outcome of a claimed call for the holder of the claim and returns at once. Once the outcome is
     * durable, it is returned to repeated calls; it is lost if the process ends before.
     *
     * @param claim the claim
     * @param outcome the outcome
     * @param nowMillis the current monotonic time
     */
    void recordOutcome(CallClaim claim, CallOutcome outcome, long nowMillis);

    /**
     * Queues the withdrawal of a claim whose call was certainly not run and returns at once. Once the withdrawal is
     * durable, the caller may retry with the same key.
     *
     * @param claim the claim
     * @param nowMillis the current monotonic time
     */
    void withdraw(CallClaim claim, long nowMillis);
}
