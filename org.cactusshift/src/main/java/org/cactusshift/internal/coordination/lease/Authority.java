package org.cactusshift.internal.coordination.lease;

/**
 * The right to act as holder of a duty until an expiry time on this process's monotonic clock.
 *
 * <p>The holder checks it immediately before each side effect, after all queueing. A successful check means that the
 * lease had not expired at that moment; it does not cover a process that is paused between the check and the effect.
 *
 * @param duty the duty
 * @param fencingNumber the create revision of the duty's key, which grows with each acquisition of the duty, also by
 *     the same node
 * @param expiresAtMillis the expiry time: the time just before the last renewal was sent plus the time to live, less
 *     the clock-drift margin
 */
public record Authority(DutyId duty, long fencingNumber, long expiresAtMillis) {
    /**
     * Returns whether the holder may act now.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return false when the lease may have expired
     */
    public boolean isValid(long nowMillis) {
        return nowMillis < expiresAtMillis;
    }
}
