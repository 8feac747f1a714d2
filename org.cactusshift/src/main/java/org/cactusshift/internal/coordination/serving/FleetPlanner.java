package org.cactusshift.internal.coordination.serving;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cactusshift.id.FailureDomainId;

/**
 * Plans a service's engines from the fleet that the operator started with.
 *
 * <p>A mix shifts faster than engines boot, so the plan holds the capacity for a shift in advance. Where reclaimable
 * engines are cheap it holds nothing else: a recall takes those of one failure domain, the others go on, and lasting
 * engines stand in while reclaimable ones are not to be had.
 */
public final class FleetPlanner {
    /** The capacity held for shifts of the mix and recalls, relative to the fleet that the operator started with. */
    private static final double HEADROOM = 2.0;

    /** The part of the plan below which lasting engines stand in; a recall of one failure domain in four is borne. */
    private static final double STAND_IN_PART = 0.75;

    /** Reclaimable engines above this price relative to others do not pay for the recalls. */
    private static final double HIGHEST_PRICE_SHARE = 0.6;

    private FleetPlanner() {}

    /**
     * Plans the fleet.
     *
     * @param rule the limits and prices
     * @param started the lasting engines that the operator started with, by failure domain
     * @param settled whether these are all
     * @return the plan
     */
    public static FleetPlan plan(CapacityRule rule, Map<FailureDomainId, Integer> started, boolean settled) {
        Map<FailureDomainId, FleetPlan.Counts> plan = new TreeMap<>();
        boolean cheap = rule.reclaimablePriceShare().orElse(1) <= HIGHEST_PRICE_SHARE;
        int total = 0;
        TreeSet<FailureDomainId> domains = new TreeSet<>(started.keySet());
        domains.addAll(rule.pricePerSecondByDomain().keySet());
        for (FailureDomainId domain : domains) {
            int present = started.getOrDefault(domain, 0);
            int fewest = Math.min(rule.minimum(), rule.maximum());
            FleetPlan.Counts counts = cheap
                    ? new FleetPlan.Counts(0, fewest)
                    : new FleetPlan.Counts(Math.min(rule.maximum(), Math.max(present, fewest)), 0);
            plan.put(domain, counts);
            total += present;
        }
        if (cheap) {
            fill(rule, plan, (int) Math.ceil(HEADROOM * total));
        }
        return new FleetPlan(plan, settled);
    }

    /**
     * Returns the engines that stand in, besides those of the plan, while reclaimable ones are not to be had somewhere:
     * reclaimable ones of other failure domains, and lasting ones when the fleet is much smaller than planned.
     *
     * @param plan the plan
     * @param rule the limits
     * @param present the engines that are not leaving, by failure domain
     * @param refused the failure domains in which reclaimable engines were lately not to be had
     * @return the engines by failure domain; domains without any are left out
     */
    public static Map<FailureDomainId, FleetPlan.Counts> substitutes(
            FleetPlan plan,
            CapacityRule rule,
            Map<FailureDomainId, FleetPlan.Counts> present,
            Set<FailureDomainId> refused) {
        Map<FailureDomainId, FleetPlan.Counts> standIns = new TreeMap<>();
        Map<FailureDomainId, Integer> expected = new TreeMap<>();
        int missing = 0;
        for (Map.Entry<FailureDomainId, FleetPlan.Counts> planned :
                plan.byDomain().entrySet()) {
            FleetPlan.Counts wanted = planned.getValue();
            int there = wanted.reclaimable();
            if (refused.contains(planned.getKey())) {
                there = Math.min(
                        there,
                        present.getOrDefault(planned.getKey(), FleetPlan.Counts.NONE)
                                .reclaimable());
                missing += wanted.reclaimable() - there;
            }
            expected.put(planned.getKey(), there + wanted.lasting());
        }
        while (missing > 0 && add(standIns, expected, refused, rule, true)) {
            missing--;
        }
        int tolerated = plan.total() - (int) Math.ceil(STAND_IN_PART * plan.total());
        while (missing > tolerated && add(standIns, expected, Set.of(), rule, false)) {
            missing--;
        }
        return standIns;
    }

    /** Adds one engine where fewest are expected; false when there is no room. */
    private static boolean add(
            Map<FailureDomainId, FleetPlan.Counts> standIns,
            Map<FailureDomainId, Integer> expected,
            Set<FailureDomainId> excluded,
            CapacityRule rule,
            boolean reclaimable) {
        Optional<FailureDomainId> emptiest = expected.entrySet().stream()
                .filter(entry -> !excluded.contains(entry.getKey()) && entry.getValue() < rule.maximum())
                .min(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
        emptiest.ifPresent(domain -> {
            expected.merge(domain, 1, Integer::sum);
            FleetPlan.Counts before = standIns.getOrDefault(domain, FleetPlan.Counts.NONE);
            standIns.put(domain, before.plus(reclaimable ? 0 : 1, reclaimable ? 1 : 0));
        });
        return emptiest.isPresent();
    }

    /** Adds reclaimable engines one by one where fewest are, cheapest first among equals. */
    private static void fill(CapacityRule rule, Map<FailureDomainId, FleetPlan.Counts> plan, int wanted) {
        int planned = plan.values().stream().mapToInt(FleetPlan.Counts::total).sum();
        while (planned < wanted) {
            FailureDomainId domain = plan.entrySet().stream()
                    .filter(entry -> entry.getValue().total() < rule.maximum())
                    .min(Comparator.<Map.Entry<FailureDomainId, FleetPlan.Counts>>comparingInt(
                                    entry -> entry.getValue().reclaimable())
                            .thenComparingDouble(
                                    entry -> rule.pricePerSecondByDomain().getOrDefault(entry.getKey(), 1.0)))
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
