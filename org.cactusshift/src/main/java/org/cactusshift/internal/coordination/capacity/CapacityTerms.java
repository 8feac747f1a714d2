package org.cactusshift.internal.coordination.capacity;

/**
 * Prices and times of ordering.
 *
 * @param onDemandPricePerHour the price of an upstream that stays
 * @param reclaimablePricePerHour the price of one that may be taken back
 * @param arrivalMillis the time from an order to an upstream that serves
 * @param shutdownAtMillis the end of the service, on the clock of the planner
 */
public record CapacityTerms(
        double onDemandPricePerHour, double reclaimablePricePerHour, long arrivalMillis, long shutdownAtMillis) {}
