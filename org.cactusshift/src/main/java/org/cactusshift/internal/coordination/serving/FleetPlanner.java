package org.cactusshift.internal.coordination.serving;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cactusshift.id.FailureDomainId;

/**
 * Plans a service's engines from the fleet that the operator started with.
 *
 * <p>A mix shifts faster than engines boot, so the plan holds the capacity for a shift in advance, on reclaimable
 * engines where these are cheaper. In each failure domain enough engines last that a recall of all reclaimable ones
 * leaves the service going.
 */
public final class FleetPlanner {
    /** The capacity held for shifts of the mix, relative to the fleet that the operator started with. */
    private static final double HEADROOM = 2.0;

    /** The part of the operator's engines that last; the others are replaced by reclaimable ones. */
    private static final double LASTING_PART = 0.5;

    /** Reclaimable engines above this price relative to others do not pay for the recalls. */
    private static final double HIGHEST_PRICE_SHARE = 0.6;

    private FleetPlanner() {}

    /**
     * Plans the fleet.
     *
     * @param rule the limits and prices
     * @param started the lasting engines that the operator started with, by failure domain
     * @return the plan
     */
    public static FleetPlan plan(CapacityRule rule, Map<FailureDomainId, Integer> started) {
        Map<FailureDomainId, FleetPlan.Counts> plan = new TreeMap<>();
        boolean cheap = rule.reclaimablePriceShare().orElse(1) <= HIGHEST_PRICE_SHARE;
        int total = 0;
        TreeSet<FailureDomainId> domains = new TreeSet<>(started.keySet());
        domains.addAll(rule.pricePerSecond().keySet());
        for (FailureDomainId domain : domains) {
            int present = started.getOrDefault(domain, 0);
            int lasting = cheap ? (int) Math.ceil(LASTING_PART * present) : present;
            lasting = Math.min(rule.maximum(), Math.max(lasting, Math.min(1, rule.minimum())));
            plan.put(domain, new FleetPlan.Counts(lasting, 0));
            total += present;
        }
        if (cheap) {
            fill(rule, plan, (int) Math.ceil(HEADROOM * total));
        }
        return new FleetPlan(plan);
    }

    /** Adds reclaimable engines one by one where fewest are, cheapest first among equals. */
    private static void fill(CapacityRule rule, Map<FailureDomainId, FleetPlan.Counts> plan, int wanted) {
        int planned = plan.values().stream().mapToInt(FleetPlan.Counts::total).sum();
        while (planned < wanted) {
            FailureDomainId domain = plan.entrySet().stream()
                    .filter(entry -> entry.getValue().total() < rule.maximum())
                    .min(Comparator.<Map.Entry<FailureDomainId, FleetPlan.Counts>>comparingInt(
                                    entry -> entry.getValue().reclaimable())
                            .thenComparingDouble(entry -> rule.pricePerSecond().getOrDefault(entry.getKey(), 1.0)))
                    .map(Map.Entry::getKey)
                    .orElse(null);
            if (domain == null) {
                return;
            }
            FleetPlan.Counts counts = plan.get(domain);
            plan.put(domain, new FleetPlan.Counts(counts.lasting(), counts.reclaimable() + 1));
            planned++;
        }
    }

    /**
     * Counts the engines of a service that are not leaving.
     *
     * @param engines the engines
     * @return the counts by failure domain
     */
    public static Map<FailureDomainId, FleetPlan.Counts> count(Collection<Upstream> engines) {
        Map<FailureDomainId, FleetPlan.Counts> counts = new HashMap<>();
        for (Upstream engine : List.copyOf(engines)) {
            FleetPlan.Counts before = counts.getOrDefault(engine.entry().domain(), FleetPlan.Counts.NONE);
            boolean reclaimable = engine.entry().reclaimable();
            counts.put(
                    engine.entry().domain(),
                    new FleetPlan.Counts(
                            before.lasting() + (reclaimable ? 0 : 1), before.reclaimable() + (reclaimable ? 1 : 0)));
        }
        return counts;
    }
}
