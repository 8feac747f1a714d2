package org.cactusshift.internal.coordination.capacity;

/**
 * The prices and times that capacity planning uses.
 *
 * @param onDemandPricePerHour the price of an on-demand upstream
 * @param reclaimablePricePerHour the price of a reclaimable upstream
 * @param arrivalMillis the time from an order until the upstream serves
 * @param shutdownAtMillis the time at which the service is shut down, on the clock of the current time that is passed
 *     to the planner; a large value when no shutdown is planned
 */
public record CapacityTerms(
        double onDemandPricePerHour, double reclaimablePricePerHour, long arrivalMillis, long shutdownAtMillis) {}
