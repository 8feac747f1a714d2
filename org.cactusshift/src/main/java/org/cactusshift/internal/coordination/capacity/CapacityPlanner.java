package org.cactusshift.internal.coordination.capacity;

/** Plans the upstreams of one service. */
public interface CapacityPlanner {
    /**
     * Returns what should be ordered and released now.
     *
     * @param snapshot the upstreams, the demand and the terms
     * @param nowMillis the present time, on the clock of {@link CapacityTerms#shutdownAtMillis}
     * @return the plan
     */
    CapacityPlan plan(CapacitySnapshot snapshot, long nowMillis);
}
