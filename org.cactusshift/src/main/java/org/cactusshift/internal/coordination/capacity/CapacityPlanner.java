package org.cactusshift.internal.coordination.capacity;

/** Plans the capacity of one service. */
public interface CapacityPlanner {
    /**
     * Returns the upstreams to order and to release now.
     *
     * @param snapshot the upstreams, the demand, the prices and the times
     * @param nowMillis the current time in milliseconds, on any clock; {@link CapacityTerms#shutdownAtMillis} must use
     *     the same
     * @return the plan
     */
    CapacityPlan plan(CapacitySnapshot snapshot, long nowMillis);
}
