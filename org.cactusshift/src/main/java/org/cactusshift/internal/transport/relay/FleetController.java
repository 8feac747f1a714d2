package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.serving.CapacityRule;
import org.cactusshift.internal.coordination.serving.FleetPlan;
import org.cactusshift.internal.coordination.serving.FleetPlanner;
import org.cactusshift.internal.coordination.serving.ServedService;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Keeps the fleet of engines in line with its plan while this node holds the duty of upstream orders: writes a changed
 * plan to the store first, then orders or releases engines, then orders changes of stage.
 */
public final class FleetController {
    /**
     * Delay, in addition to the boot time, after which an order is sent again that the registered engines do not match.
     */
    private static final long ORDER_RETRY_DELAY_MILLIS = 2_500;

    /**
     * The on-demand engines of a service count as completely registered when the newest of them was first seen at least
     * this long ago; engines report about every 1,200 ms.
     */
    private static final long FLEET_COMPLETE_MILLIS = 3_000;

    /**
     * How long, in addition to the boot time, a failure domain that refused reclaimable engines counts as having none.
     * Covers two order attempts, and ends early when an order is accepted.
     */
    private static final long RECLAIMABLE_UNAVAILABLE_MILLIS = 2 * ORDER_RETRY_DELAY_MILLIS;

    /**
     * How long after a restore the plans that were known before are written again: longer than the duty stays vacant,
     * and shorter than another holder takes to plan anew.
     */
    private static final long CARRY_PLANS_MILLIS = 10_000;

    private final FleetOrderClient client;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final UpstreamDirectory directory;
    private final StageController stages;
    private final Function<Authority, DutyCaller> callers;
    private final String planKey;
    private final EventLog log;
    private final Map<CapacityOrder, Long> pendingUntilMillisByOrder = new HashMap<>();
    private final Map<ServiceDomain, Long> unavailableUntilMillisByServiceDomain = new HashMap<>();
    private final Map<UpstreamId, Long> firstSeenMillisByEngine = new HashMap<>();
    private boolean planWritePending;

    /** The mod revision of the plans that this node wrote last; 0 before the first write. */
    private long writtenPlanRevision;

    /** The plans as known when the store was restored, until they are in the store again; null when there are none. */
    private byte[] carriedPlans;

    private long carriedUntilMillis;

    /** The fencing number under which an order was last rejected as superseded. */
    private long supersededFencingNumber = Long.MIN_VALUE;

    /**
     * The keys in the store.
     *
     * @param plans the key of the plans
     * @param stages the key of the announced changes of stage
     */
    public record Keys(String plans, String stages) {}

    private record ServiceDomain(ServiceId service, FailureDomainId domain) {}

    private record CapacityOrder(ServiceId service, FailureDomainId domain, boolean reclaimable, int count) {}

    private FleetController(
            FleetOrderClient client,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            UpstreamDirectory directory,
            UpstreamRequestLimits limits,
            Function<Authority, DutyCaller> callers,
            Keys keys,
            EventLog log) {
        this.client = client;
        this.store = store;
        this.follower = follower;
        this.directory = directory;
        this.callers = callers;
        this.planKey = keys.plans();
        this.log = log;
        this.stages = StageController.create(
                client, store, follower, directory, limits, this::recordSuperseded, keys.stages(), log);
    }

    /**
     * Returns a controller that has ordered nothing yet.
     *
     * @param client sends orders
     * @param store stores the plans
     * @param follower provides the configuration and the stored plans
     * @param directory provides the registered engines
     * @param limits the request limits of the engines
     * @param callers returns the sender of calls under an authority of this node
     * @param keys the keys in the store
     * @param log records plans and orders
     * @return the controller
     */
    public static FleetController create(
            FleetOrderClient client,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            UpstreamDirectory directory,
            UpstreamRequestLimits limits,
            Function<Authority, DutyCaller> callers,
            Keys keys,
            EventLog log) {
        return new FleetController(client, store, follower, directory, limits, callers, keys, log);
    }

    /**
     * Sends the orders that are due, if this node holds the duty.
     *
     * @param authority the authority, empty when this node does not hold the duty
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void tick(Optional<Authority> authority, long nowMillis) {
        boolean maySendOrders = authority.isPresent() && authority.get().fencingNumber() != supersededFencingNumber;
        boolean knowsState = !follower.isStoreUnavailable()
                && follower.hasReadCurrentEra()
                && follower.config().isPresent();
        if (!maySendOrders || !knowsState || planWritePending) {
            return;
        }
        ServingConfig config = follower.config().get();
        DutyCaller holder = callers.apply(authority.get());
        VersionedValue stored = follower.nodeValueByKey().get(planKey);
        if (stored != null && stored.modRevision() < writtenPlanRevision) {
            // The plan written last has not been read back yet.
            return;
        }
        if (restorePlans(stored, nowMillis)) {
            return;
        }
        Map<ServiceId, FleetPlan> plans = stored == null
                ? new HashMap<>()
                : FleetPlanCodec.decode(stored.value()).orElseGet(HashMap::new);
        for (ServedService service : config.services().values()) {
            List<Upstream> engines = directory.acceptingWork(service.id());
            FleetPlan plan = plans.get(service.id());
            if (service.capacity().isPresent() && (plan == null || !plan.complete())) {
                FleetPlan newPlan = plan(service, engines, nowMillis);
                if (!newPlan.equals(plan) && newPlan.total() > 0) {
                    // All plans are in one value, so the other services wait until this write has been read back.
                    storePlan(service, newPlan, plans, stored);
                    return;
                }
            }
            List<Upstream> remainingEngines = engines;
            if (service.capacity().isPresent() && plan != null) {
                Map<FailureDomainId, FleetPlan.Counts> targetCounts = targetCounts(service, plan, engines, nowMillis);
                orderDifferences(holder, service, plan, targetCounts, engines, nowMillis);
                remainingEngines = remainingEngines(engines, targetCounts);
            }
            if (service.engine().isPresent()) {
                stages.tick(holder, service, remainingEngines, nowMillis);
            }
        }
    }

    /**
     * Keeps the plans as known, as the store was restored from a copy that may show older ones or none. A fleet that is
     * planned anew would count engines that were ordered as those of the operator. To be called before the state
     * of the restored store is read.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     */
    void onStoreRestored(long nowMillis) {
        writtenPlanRevision = 0;
        stages.onStoreRestored();
        VersionedValue known = follower.nodeValueByKey().get(planKey);
        // Plans that are still carried are newer than those that a store shows which was restored before.
        if (carriedPlans == null || nowMillis >= carriedUntilMillis) {
            carriedPlans = known == null ? null : known.value();
        }
        carriedUntilMillis = nowMillis + CARRY_PLANS_MILLIS;
    }

    /** Writes the plans again that the restored store lacks; returns whether that is still to be done. */
    private boolean restorePlans(VersionedValue stored, long nowMillis) {
        boolean isRestored = carriedPlans == null || (stored != null && Arrays.equals(stored.value(), carriedPlans));
        if (isRestored || nowMillis >= carriedUntilMillis) {
            carriedPlans = null;
            return false;
        }
        planWritePending = true;
        log.event("fleet.plansRewritten").write();
        long expected = stored == null ? 0 : stored.modRevision();
        store.compareAndSwap(
                new AsyncKeyValueStore.Write(planKey, expected, carriedPlans, LeaseGrant.NONE, List.of()),
                this::onPlanWritten);
        return true;
    }

    /**
     * Plans the fleet of a service from its registered on-demand engines, which the operator started. The plan is
     * complete when engines are registered and each on-demand one of them for {@link #FLEET_COMPLETE_MILLIS}.
     */
    private FleetPlan plan(ServedService service, List<Upstream> engines, long nowMillis) {
        engines.forEach(engine -> firstSeenMillisByEngine.putIfAbsent(engine.id(), nowMillis));
        boolean complete = !engines.isEmpty();
        Map<FailureDomainId, Integer> onDemandByDomain = new HashMap<>();
        for (Upstream engine : engines) {
            if (!engine.entry().reclaimable()) {
                onDemandByDomain.merge(engine.entry().domain(), 1, Integer::sum);
                complete &= nowMillis - firstSeenMillisByEngine.get(engine.id()) >= FLEET_COMPLETE_MILLIS;
            }
        }
        return FleetPlanner.plan(service.capacity().orElseThrow(), onDemandByDomain, complete);
    }

    private void storePlan(
            ServedService service, FleetPlan plan, Map<ServiceId, FleetPlan> plans, VersionedValue stored) {
        Map<ServiceId, FleetPlan> changed = new HashMap<>(plans);
        changed.put(service.id(), plan);
        planWritePending = true;
        long expected = stored == null ? 0 : stored.modRevision();
        byte[] value = FleetPlanCodec.encode(changed);
        // Logged before the write; a failed write is logged as fleet.planNotKept.
        log.event("fleet.planned")
                .with("service", service.id().value())
                .with("plan", plan.sorted())
                .with("settled", plan.complete())
                .write();
        store.compareAndSwap(
                new AsyncKeyValueStore.Write(planKey, expected, value, LeaseGrant.NONE, List.of()),
                this::onPlanWritten);
    }

    private void onPlanWritten(Either<Failure, SwapResult> swap) {
        // The plan is used only once it has been read back from the store.
        planWritePending = false;
        if (swap.isRight() && swap.get().isApplied()) {
            writtenPlanRevision = swap.get().revision();
        } else if (swap.isLeft()) {
            log.event("fleet.planNotKept").with("failure", swap.getLeft()).write();
        }
    }

    /** Returns the planned counts plus the engines that substitute for unavailable reclaimable ones. */
    private Map<FailureDomainId, FleetPlan.Counts> targetCounts(
            ServedService service, FleetPlan plan, List<Upstream> engines, long nowMillis) {
        Set<FailureDomainId> unavailable = new HashSet<>();
        unavailableUntilMillisByServiceDomain.forEach((serviceDomain, until) -> {
            if (serviceDomain.service().equals(service.id()) && nowMillis < until) {
                unavailable.add(serviceDomain.domain());
            }
        });
        Map<FailureDomainId, FleetPlan.Counts> targetCounts = plan.sorted();
        FleetPlanner.substitutes(plan, service.capacity().orElseThrow(), FleetPlanner.count(engines), unavailable)
                .forEach((domain, more) -> targetCounts.computeIfPresent(
                        domain, (key, counts) -> counts.plus(more.lasting(), more.reclaimable())));
        return targetCounts;
    }

    /** Orders the target counts that differ from the present ones; a lower target count releases engines. */
    private void orderDifferences(
            DutyCaller holder,
            ServedService service,
            FleetPlan plan,
            Map<FailureDomainId, FleetPlan.Counts> targetCounts,
            List<Upstream> engines,
            long nowMillis) {
        Map<FailureDomainId, FleetPlan.Counts> present = FleetPlanner.count(engines);
        CapacityRule rule = service.capacity().orElseThrow();
        targetCounts.forEach((domain, counts) -> {
            FleetPlan.Counts presentCounts = present.getOrDefault(domain, FleetPlan.Counts.NONE);
            CapacityOrder reclaimable = new CapacityOrder(service.id(), domain, true, counts.reclaimable());
            order(holder, reclaimable, presentCounts.reclaimable(), rule, nowMillis);
            // On-demand engines are released only when the reclaimable ones have registered, or when the maximum number
            // of engines leaves no room for those.
            boolean replacementsPresent = presentCounts.reclaimable() >= counts.reclaimable()
                    || (presentCounts.reclaimable() > 0 && presentCounts.total() >= rule.maximum());
            if (presentCounts.lasting() < counts.lasting() || (plan.complete() && replacementsPresent)) {
                CapacityOrder onDemand = new CapacityOrder(service.id(), domain, false, counts.lasting());
                order(holder, onDemand, presentCounts.lasting(), rule, nowMillis);
            }
        });
    }

    /**
     * Leaves out as many on-demand engines of each failure domain as exceed the target count, as these are about to be
     * released and should not change their stage first.
     */
    private static List<Upstream> remainingEngines(
            List<Upstream> engines, Map<FailureDomainId, FleetPlan.Counts> targetCounts) {
        Map<FailureDomainId, Integer> onDemand = new HashMap<>();
        return engines.stream()
                .filter(engine -> engine.entry().reclaimable()
                        || onDemand.merge(engine.entry().domain(), 1, Integer::sum)
                                <= targetCounts
                                        .getOrDefault(engine.entry().domain(), FleetPlan.Counts.NONE)
                                        .lasting())
                .toList();
    }

    private void order(DutyCaller holder, CapacityOrder order, int presentCount, CapacityRule rule, long nowMillis) {
        if (presentCount == order.count()
                || nowMillis < pendingUntilMillisByOrder.getOrDefault(order, Long.MIN_VALUE)) {
            return;
        }
        pendingUntilMillisByOrder.put(order, nowMillis + rule.bootMillis() + ORDER_RETRY_DELAY_MILLIS);
        client.orderEngines(
                holder,
                order.service(),
                order.domain(),
                order.reclaimable(),
                order.count(),
                result -> onOrdered(holder, order, presentCount, nowMillis + rule.bootMillis(), result));
    }

    private void onOrdered(
            DutyCaller holder,
            CapacityOrder order,
            int presentCount,
            long expectedBootedAtMillis,
            Either<Failure, FleetOrderClient.Result> result) {
        ServiceDomain serviceDomain = new ServiceDomain(order.service(), order.domain());
        if (order.reclaimable() && result.isRight()) {
            if (result.get() == FleetOrderClient.Result.UNAVAILABLE) {
                unavailableUntilMillisByServiceDomain.put(
                        serviceDomain, expectedBootedAtMillis + RECLAIMABLE_UNAVAILABLE_MILLIS);
            } else {
                unavailableUntilMillisByServiceDomain.remove(serviceDomain);
            }
        }
        log.event("fleet.ordered")
                .with("service", order.service().value())
                .with("domain", order.domain().value())
                .with("reclaimable", order.reclaimable())
                .with("count", order.count())
                .with("present", presentCount)
                .with("fencingNumber", holder.fencingNumber())
                .with("outcome", result.fold(Failure::toString, FleetOrderClient.Result::toString))
                .write();
        recordSuperseded(holder, result);
    }

    private void recordSuperseded(DutyCaller holder, Either<Failure, FleetOrderClient.Result> result) {
        if (result.isRight() && result.get() == FleetOrderClient.Result.SUPERSEDED) {
            supersededFencingNumber = holder.fencingNumber();
        }
    }
}
