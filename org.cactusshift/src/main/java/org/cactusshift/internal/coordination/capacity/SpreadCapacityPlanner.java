package org.cactusshift.internal.coordination.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.cactusshift.config.FailureDomainConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;

/**
 * Plans on-demand upstreams for work that must not be lost, and reclaimable ones for the rest.
 *
 * <p>On-demand upstreams are spread so that enough of them for the protected work remain after the loss of any one
 * failure domain. The total capacity is the demand times a factor above 1. Where reclaimable upstreams are unavailable
 * or not cheaper, on-demand ones are ordered instead. No order is placed whose upstream would serve too briefly before
 * the service is shut down. A plan releases at most one upstream, and only if it contains no order, at least two
 * upstreams remain and their capacity exceeds the demand by a clearly larger factor.
 */
public final class SpreadCapacityPlanner implements CapacityPlanner {
    /** The planned capacity relative to the demand. */
    private static final double CAPACITY_FACTOR = 1.2;

    /**
     * An upstream is released only if the others have this capacity relative to the demand; the difference is
     * hysteresis.
     */
    private static final double RELEASE_CAPACITY_FACTOR = 1.6;

    /** An upstream is ordered only if it would serve for at least this time before the shutdown. */
    private static final long MINIMUM_USE_MILLIS = 1_800_000;

    private SpreadCapacityPlanner() {}

    /**
     * Returns the planner.
     *
     * @return the planner
     */
    public static SpreadCapacityPlanner create() {
        return new SpreadCapacityPlanner();
    }

    @Override
    public CapacityPlan plan(CapacitySnapshot snapshot, long nowMillis) {
        List<CapacityUpstream> planned = new ArrayList<>(snapshot.upstreams());
        List<CapacityPlan.Order> orders = new ArrayList<>();
        CapacityTerms terms = snapshot.terms();
        if (nowMillis + terms.arrivalMillis() + MINIMUM_USE_MILLIS <= terms.shutdownAtMillis()) {
            orderProtected(snapshot, planned, orders);
            orderUnprotected(snapshot, planned, orders);
        }
        List<UpstreamId> releases =
                orders.isEmpty() ? selectRelease(snapshot).map(List::of).orElse(List.of()) : List.of();
        return new CapacityPlan(orders, releases);
    }

    private static void orderProtected(
            CapacitySnapshot snapshot, List<CapacityUpstream> planned, List<CapacityPlan.Order> orders) {
        while (remainingAfterDomainLoss(planned) < snapshot.protectedUpstreams()) {
            if (!order(snapshot, planned, orders, false)) {
                return;
            }
        }
    }

    private static void orderUnprotected(
            CapacitySnapshot snapshot, List<CapacityUpstream> planned, List<CapacityPlan.Order> orders) {
        double target = snapshot.neededUpstreams() * CAPACITY_FACTOR;
        boolean isReclaimableCheaper =
                snapshot.terms().reclaimablePricePerHour() < snapshot.terms().onDemandPricePerHour();
        while (planned.size() < target) {
            boolean ordered = isReclaimableCheaper && order(snapshot, planned, orders, true);
            if (!ordered && !order(snapshot, planned, orders, false)) {
                return;
            }
        }
    }

    /**
     * Returns the number of on-demand upstreams that would remain after the loss of the failure domain with the most of
     * them.
     */
    private static int remainingAfterDomainLoss(List<CapacityUpstream> upstreams) {
        List<CapacityUpstream> onDemand =
                upstreams.stream().filter(upstream -> !upstream.reclaimable()).toList();
        long largest = onDemand.stream()
                .map(CapacityUpstream::failureDomain)
                .distinct()
                .mapToLong(domain -> count(onDemand, domain, upstream -> true))
                .max()
                .orElse(0);
        return (int) (onDemand.size() - largest);
    }

    /**
     * Orders an upstream, reclaimable or on-demand, in the failure domain with the fewest of that kind; returns false
     * when every failure domain is at its maximum or has no such upstreams available.
     */
    private static boolean order(
            CapacitySnapshot snapshot,
            List<CapacityUpstream> planned,
            List<CapacityPlan.Order> orders,
            boolean reclaimable) {
        Set<FailureDomainId> unavailable =
                reclaimable ? snapshot.unavailableReclaimable() : snapshot.unavailableOnDemand();
        Optional<FailureDomainId> domain = snapshot.failureDomains().stream()
                .filter(config -> !unavailable.contains(config.id()))
                .filter(config -> count(planned, config.id(), upstream -> true) < config.maximumUpstreams())
                .map(FailureDomainConfig::id)
                .min(Comparator.<FailureDomainId>comparingLong(
                                id -> count(planned, id, upstream -> upstream.reclaimable() == reclaimable))
                        .thenComparingLong(id -> count(planned, id, upstream -> true))
                        .thenComparing(Comparator.naturalOrder()));
        domain.ifPresent(id -> {
            planned.add(new CapacityUpstream(Optional.empty(), id, reclaimable));
            orders.add(new CapacityPlan.Order(id, reclaimable));
        });
        return domain.isPresent();
    }

    private static Optional<UpstreamId> selectRelease(CapacitySnapshot snapshot) {
        List<CapacityUpstream> all = snapshot.upstreams();
        if (all.size() - 1 < snapshot.neededUpstreams() * RELEASE_CAPACITY_FACTOR || all.size() <= 2) {
            return Optional.empty();
        }
        return all.stream()
                .filter(upstream -> upstream.id().isPresent())
                .filter(upstream -> upstream.reclaimable() || isDomainLossCoveredWithout(snapshot, upstream))
                .max(Comparator.<CapacityUpstream>comparingDouble(upstream -> price(upstream, snapshot.terms()))
                        .thenComparingLong(upstream -> count(all, upstream.failureDomain(), other -> true))
                        .thenComparing(upstream -> upstream.id().orElseThrow()))
                .flatMap(CapacityUpstream::id);
    }

    private static boolean isDomainLossCoveredWithout(CapacitySnapshot snapshot, CapacityUpstream upstream) {
        List<CapacityUpstream> remaining =
                snapshot.upstreams().stream().filter(other -> other != upstream).toList();
        return remainingAfterDomainLoss(remaining) >= snapshot.protectedUpstreams();
    }

    private static double price(CapacityUpstream upstream, CapacityTerms terms) {
        return upstream.reclaimable() ? terms.reclaimablePricePerHour() : terms.onDemandPricePerHour();
    }

    private static long count(
            List<CapacityUpstream> upstreams, FailureDomainId domain, Predicate<CapacityUpstream> condition) {
        return upstreams.stream()
                .filter(upstream -> upstream.failureDomain().equals(domain))
                .filter(condition)
                .count();
    }
}
