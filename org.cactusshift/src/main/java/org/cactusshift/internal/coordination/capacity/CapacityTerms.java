package org.cactusshift.internal.coordination.capacity;

/**
 * The terms of ordering upstreams: prices and times.
 *
 * @param onDemandPricePerHour the price of an on-demand upstream
 * @param reclaimablePricePerHour the price of a reclaimable upstream
 * @param arrivalMillis the time from an order until the upstream serves
 * @param shutdownAtMillis the time at which the service is shut down, on the clock of the planner
 */
public record CapacityTerms(
        double onDemandPricePerHour, double reclaimablePricePerHour, long arrivalMillis, long shutdownAtMillis) {}
