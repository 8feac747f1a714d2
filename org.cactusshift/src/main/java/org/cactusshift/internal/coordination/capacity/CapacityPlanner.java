package org.cactusshift.internal.coordination.capacity;

/** Plans the capacity of one service. */
public interface CapacityPlanner {
    /**
     * Returns the upstreams to order and to release now.
     *
     * @param snapshot the upstreams, the demand and the terms of ordering
     * @param nowMillis the current time, on the clock of {@link CapacityTerms#shutdownAtMillis}
     * @return the plan
     */
    CapacityPlan plan(CapacitySnapshot snapshot, long nowMillis);
}
