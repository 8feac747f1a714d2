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
 * Plans the engines of a service, based on the initial fleet of the operator.
 *
 * <p>The request mix shifts faster than engines boot, so the plan holds the capacity for a shift in advance. Where
 * reclaimable engines are cheap, the plan consists of these alone: a reclaim takes those of one failure domain while
 * the others continue, and on-demand engines substitute for reclaimable ones that are unavailable.
 */
public final class FleetPlanner {
    /**
     * The planned capacity relative to the operator's initial fleet; the excess covers shifts of the request mix and
     * reclaims.
     */
    private static final double CAPACITY_FACTOR = 2.0;

    /**
     * On-demand engines substitute only up to this fraction of the plan, so that the loss of one failure domain in four
     * needs none.
     */
    private static final double SUBSTITUTION_THRESHOLD = 0.75;

    /** The highest price of reclaimable engines, relative to on-demand ones, at which they are worth their reclaims. */
    private static final double MAXIMUM_RECLAIMABLE_PRICE_RATIO = 0.6;

    private FleetPlanner() {}

    /**
     * Plans the fleet.
     *
     * @param rule the limits and prices
     * @param initial the on-demand engines of the operator's initial fleet, by failure domain
     * @param complete whether these are all engines of the initial fleet
     * @return the plan
     */
    public static FleetPlan plan(CapacityRule rule, Map<FailureDomainId, Integer> initial, boolean complete) {
        Map<FailureDomainId, FleetPlan.Counts> plan = new TreeMap<>();
        boolean usesReclaimable = rule.reclaimablePriceShare().orElse(1) <= MAXIMUM_RECLAIMABLE_PRICE_RATIO;
        int total = 0;
        TreeSet<FailureDomainId> domains = new TreeSet<>(initial.keySet());
        domains.addAll(rule.pricePerSecondByDomain().keySet());
        for (FailureDomainId domain : domains) {
            int initialCount = initial.getOrDefault(domain, 0);
            int minimum = Math.min(rule.minimum(), rule.maximum());
            FleetPlan.Counts counts = usesReclaimable
                    ? new FleetPlan.Counts(0, minimum)
                    : new FleetPlan.Counts(Math.min(rule.maximum(), Math.max(initialCount, minimum)), 0);
            plan.put(domain, counts);
            total += initialCount;
        }
        if (usesReclaimable) {
            addReclaimable(rule, plan, (int) Math.ceil(CAPACITY_FACTOR * total));
        }
        return new FleetPlan(plan, complete);
    }

    /**
     * Returns the engines that are needed in addition to the plan while reclaimable engines are unavailable in some
     * failure domains: reclaimable engines in other failure domains, and on-demand engines when the fleet is much
     * smaller than planned.
     *
     * @param plan the plan
     * @param rule the limits
     * @param present the present engines that are not leaving, by failure domain
     * @param unavailableReclaimable the failure domains in which the platform recently refused reclaimable engines
     * @return the additional engines by failure domain; failure domains without any are omitted
     */
    public static Map<FailureDomainId, FleetPlan.Counts> substitutes(
            FleetPlan plan,
            CapacityRule rule,
            Map<FailureDomainId, FleetPlan.Counts> present,
            Set<FailureDomainId> unavailableReclaimable) {
        Map<FailureDomainId, FleetPlan.Counts> substitutes = new TreeMap<>();
        Map<FailureDomainId, Integer> expectedByDomain = new TreeMap<>();
        int missing = 0;
        for (Map.Entry<FailureDomainId, FleetPlan.Counts> planned :
                plan.byDomain().entrySet()) {
            FleetPlan.Counts wanted = planned.getValue();
            int available = wanted.reclaimable();
            if (unavailableReclaimable.contains(planned.getKey())) {
                available = Math.min(
                        available,
                        present.getOrDefault(planned.getKey(), FleetPlan.Counts.NONE)
                                .reclaimable());
                missing += wanted.reclaimable() - available;
            }
            expectedByDomain.put(planned.getKey(), available + wanted.lasting());
        }
        while (missing > 0 && addSubstitute(substitutes, expectedByDomain, unavailableReclaimable, rule, true)) {
            missing--;
        }
        int tolerated = plan.total() - (int) Math.ceil(SUBSTITUTION_THRESHOLD * plan.total());
        while (missing > tolerated && addSubstitute(substitutes, expectedByDomain, Set.of(), rule, false)) {
            missing--;
        }
        return substitutes;
    }

    /**
     * Adds one substitute to the failure domain with the fewest expected engines; returns false when no failure domain
     * has room.
     */
    private static boolean addSubstitute(
            Map<FailureDomainId, FleetPlan.Counts> substitutes,
            Map<FailureDomainId, Integer> expectedByDomain,
            Set<FailureDomainId> excluded,
            CapacityRule rule,
            boolean reclaimable) {
        Optional<FailureDomainId> leastFilled = expectedByDomain.entrySet().stream()
                .filter(entry -> !excluded.contains(entry.getKey()) && entry.getValue() < rule.maximum())
                .min(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
        leastFilled.ifPresent(domain -> {
            expectedByDomain.merge(domain, 1, Integer::sum);
            FleetPlan.Counts before = substitutes.getOrDefault(domain, FleetPlan.Counts.NONE);
            substitutes.put(domain, before.plus(reclaimable ? 0 : 1, reclaimable ? 1 : 0));
        });
        return leastFilled.isPresent();
    }

    /**
     * Adds reclaimable engines one by one to the failure domain with the fewest, at equal counts to the cheapest, until
     * the plan has the target total or every failure domain is full.
     */
    private static void addReclaimable(
            CapacityRule rule, Map<FailureDomainId, FleetPlan.Counts> plan, int targetTotal) {
        int planned = plan.values().stream().mapToInt(FleetPlan.Counts::total).sum();
        while (planned < targetTotal) {
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
     * Counts engines by failure domain and kind.
     *
     * @param engines the engines of a service that are not leaving
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
