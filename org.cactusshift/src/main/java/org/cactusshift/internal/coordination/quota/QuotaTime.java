package org.cactusshift.internal.coordination.quota;

/**
 * The two clocks of a node at one moment. The monotonic clock can stand still while a machine is suspended, and the
 * wall clock can be set back, so credit expires by whichever shows its end first.
 *
 * @param monotonicMillis the monotonic time
 * @param epochMillis the wall-clock time
 */
public record QuotaTime(long monotonicMillis, long epochMillis) {
    /**
     * Returns the time that has passed by the clock that has advanced further.
     *
     * @param earlier an earlier time of the same node
     * @return the milliseconds since then, at least 0
     */
    public long millisSince(QuotaTime earlier) {
        return Math.max(0, Math.max(monotonicMillis - earlier.monotonicMillis, epochMillis - earlier.epochMillis));
    }
}
