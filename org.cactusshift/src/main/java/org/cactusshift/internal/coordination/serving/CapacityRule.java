package org.cactusshift.internal.coordination.serving;

import java.util.Map;
import java.util.OptionalDouble;
import org.cactusshift.id.FailureDomainId;

/**
 * Limits and prices for ordering the engines of a service.
 *
 * @param minimum the minimum number of engines in a failure domain
 * @param maximum the maximum number of engines in a failure domain, including reclaimable ones
 * @param bootMillis the time from an order until the engine can take its first request
 * @param reclaimablePriceShare the price of a reclaimable engine relative to an on-demand one, empty when there are no
 *     reclaimable engines
 * @param pricePerSecondByDomain the price of an engine per second, by failure domain; only compared, and taken as 1
 *     where it is missing
 */
public record CapacityRule(
        int minimum,
        int maximum,
        long bootMillis,
        OptionalDouble reclaimablePriceShare,
        Map<FailureDomainId, Double> pricePerSecondByDomain) {
    /** Copies the map. */
    public CapacityRule {
        pricePerSecondByDomain = Map.copyOf(pricePerSecondByDomain);
    }
}
