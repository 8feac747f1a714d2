package org.cactusshift.internal.coordination.lease;

/**
 * The right to act for a duty until a time on this process's monotonic clock.
 *
 * <p>The holder checks it just before each effect, after all queueing. A check that holds says that the lease had not
 * ended at that moment; it says nothing about a process that is paused between the check and the effect.
 *
 * @param duty the duty
 * @param fencingNumber the number that grows with each change of holder
 * @param expiresAtMillis the end, counted from before the last renewal was sent, less the clock-rate margin
 */
public record Authority(DutyId duty, long fencingNumber, long expiresAtMillis) {
    /**
     * Tells whether the holder may act now.
     *
     * @param nowMillis the present time, monotonic
     * @return false when the lease may have ended
     */
    public boolean isValid(long nowMillis) {
        return nowMillis < expiresAtMillis;
    }
}
