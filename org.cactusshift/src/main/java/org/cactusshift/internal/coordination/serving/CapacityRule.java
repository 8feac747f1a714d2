package org.cactusshift.internal.coordination.serving;

import java.util.Map;
import java.util.OptionalDouble;
import org.cactusshift.id.FailureDomainId;

/**
 * How many engines of a service may be ordered, and at which price.
 *
 * @param minimum the fewest engines in a failure domain
 * @param maximum the most engines in a failure domain, reclaimable ones included
 * @param bootMillis the time from an order to the first request
 * @param reclaimablePriceShare the price of a reclaimable engine relative to others, empty when there are none
 * @param pricePerSecondByDomain the relative price of an engine by failure domain
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
