package org.cactusshift.internal.coordination.order;

import org.cactusshift.internal.coordination.lease.LeaseTiming;

/**
 * The periods of orders, in milliseconds.
 *
 * @param takeOverDelayMillis how long a new holder sends nothing to a target that does not check fencing numbers
 * @param maximumFlightMillis how long after a call was given up its bytes may still reach the target
 * @param pollIntervalMillis the time between two reads of a running order
 * @param retryDelayMillis the time from a failed call to the next
 */
public record OrderTiming(
        long takeOverDelayMillis, long maximumFlightMillis, long pollIntervalMillis, long retryDelayMillis) {
    private static final long NETWORK_MILLIS = 5_000;
    private static final long POLL_MILLIS = 500;
    private static final long RETRY_MILLIS = 1_000;

    /**
     * Returns the periods that belong to a lease and a bound on calls.
     *
     * @param lease the periods of the lease
     * @param callTimeoutMillis the bound on a call, at which its connection is reset
     * @return the periods
     */
    public static OrderTiming of(LeaseTiming lease, long callTimeoutMillis) {
        long flightMillis = callTimeoutMillis + NETWORK_MILLIS;
        return new OrderTiming(lease.ttlMillis() + flightMillis, flightMillis, POLL_MILLIS, RETRY_MILLIS);
    }
}
