package org.cactusshift.internal.coordination.order;

import org.cactusshift.internal.coordination.lease.LeaseTiming;

/**
 * The delays and intervals of orders, in milliseconds.
 *
 * @param takeOverDelayMillis the time for which a new holder sends nothing to targets that do not check fencing
 *     numbers: the previous holder may send until its lease expires, and its last call may arrive one maximum flight
 *     time later
 * @param maximumFlightMillis the time after which an abandoned call can no longer reach the target
 * @param pollIntervalMillis the interval between two reads of the progress of a running order
 * @param retryDelayMillis the delay from a failed call to the next
 */
public record OrderTiming(
        long takeOverDelayMillis, long maximumFlightMillis, long pollIntervalMillis, long retryDelayMillis) {
    /** The assumed maximum time for which the network can still deliver a call whose connection was reset. */
    private static final long MAXIMUM_NETWORK_DELAY_MILLIS = 5_000;

    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final long RETRY_DELAY_MILLIS = 1_000;

    /**
     * Returns the timing that follows from the lease timing and the timeout of calls.
     *
     * @param lease the timing of the lease
     * @param callTimeoutMillis the timeout of a call, after which its connection is reset
     * @return the timing
     */
    public static OrderTiming of(LeaseTiming lease, long callTimeoutMillis) {
        long maximumFlightMillis = callTimeoutMillis + MAXIMUM_NETWORK_DELAY_MILLIS;
        return new OrderTiming(
                lease.ttlMillis() + maximumFlightMillis, maximumFlightMillis, POLL_INTERVAL_MILLIS, RETRY_DELAY_MILLIS);
    }
}
