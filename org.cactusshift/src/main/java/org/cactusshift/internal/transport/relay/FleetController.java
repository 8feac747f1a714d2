package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.serving.CapacityRule;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.FleetPlan;
import org.cactusshift.internal.coordination.serving.FleetPlanner;
import org.cactusshift.internal.coordination.serving.ServedService;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.StagePlanner;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Carries out the plans for engines while this node holds the duty: writes a plan to the store first, then orders what
 * is missing, then the stages.
 */
public final class FleetController {
    /** An order that brought nothing is repeated after this time besides the boot time. */
    private static final long REPEAT_MILLIS = 2_500;

    /** The operator's fleet is complete when no engine is newer than this; an engine reports about each 1,200 ms. */
    private static final long SETTLE_MILLIS = 3_000;

    /** A failure domain that had no reclaimable engines counts as such until an order has been refused no more. */
    private static final long REFUSED_MILLIS = 2 * REPEAT_MILLIS;

    /** An engine that was ordered to change its stage is left alone for this time besides the change itself. */
    private static final long STAGE_REPEAT_MILLIS = 4_000;

    private final FleetOrderClient calls;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final UpstreamDirectory directory;
    private final InstanceId self;
    private final String planKey;
    private final EventLog log;
    private final Map<Subject, Long> orderedUntilMillis = new HashMap<>();
    private final Map<Place, Long> refusedUntilMillis = new HashMap<>();
    private final Map<UpstreamId, OrderedStage> stagesUnderWay = new HashMap<>();
    private final Map<UpstreamId, Long> firstSeenMillis = new HashMap<>();
    private boolean writing;
    private long writtenRevision;
    private long refusedNumber = Long.MIN_VALUE;

    private record OrderedStage(EngineStage stage, long untilMillis) {}

    private record Place(ServiceId service, FailureDomainId domain) {}

    private record Subject(ServiceId service, FailureDomainId domain, boolean reclaimable, int count) {}

    private FleetController(
            FleetOrderClient calls,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            UpstreamDirectory directory,
            InstanceId self,
            String planKey,
            EventLog log) {
        this.calls = calls;
        this.store = store;
        this.follower = follower;
        this.directory = directory;
        this.self = self;
        this.planKey = planKey;
        this.log = log;
    }

    /**
     * Returns a runner that has ordered nothing.
     *
     * @param calls gives orders
     * @param store keeps the plans
     * @param follower knows the configuration and the plans
     * @param directory knows the engines
     * @param self this node
     * @param planKey the key of the plans
     * @param log takes orders
     * @return the runner
     */
    public static FleetController create(
            FleetOrderClient calls,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            UpstreamDirectory directory,
            InstanceId self,
            String planKey,
            EventLog log) {
        return new FleetController(calls, store, follower, directory, self, planKey, log);
    }

    /**
     * Orders what is due, if this node holds the duty.
     *
     * @param authority the authority, empty when this node does not hold the duty
     * @param nowMillis the present time
     */
    public void tick(Optional<Authority> authority, long nowMillis) {
        boolean holds = authority.isPresent() && authority.get().fencingNumber() != refusedNumber;
        if (!holds || follower.isStoreAway() || follower.config().isEmpty() || writing) {
            return;
        }
        ServingConfig config = follower.config().get();
        FleetOrderClient.Holder holder =
                new FleetOrderClient.Holder(self, authority.get().fencingNumber());
        VersionedValue kept = follower.ownKeys().get(planKey);
        if (kept != null && kept.modRevision() < writtenRevision) {
            // The last plan that was written is not read yet.
            return;
        }
        Map<ServiceId, FleetPlan> plans = kept == null
                ? new HashMap<>()
                : FleetPlanCodec.read(kept.value()).orElseGet(HashMap::new);
        for (ServedService service : config.services().values()) {
            List<Upstream> engines = directory.acceptingWork(service.id());
            FleetPlan plan = plans.get(service.id());
            if (service.capacity().isPresent() && (plan == null || !plan.complete())) {
                FleetPlan newest = plan(service, engines, nowMillis);
                if (!newest.equals(plan) && newest.total() > 0) {
                    keep(service, newest, plans, kept);
                    return;
                }
            }
            List<Upstream> staying = engines;
            if (service.capacity().isPresent() && plan != null) {
                Map<FailureDomainId, FleetPlan.Counts> wanted = wanted(service, plan, engines, nowMillis);
                orderMissing(holder, service, plan, wanted, engines, nowMillis);
                staying = staying(engines, wanted);
            }
            if (service.engine().isPresent()) {
                orderStages(holder, service, staying, nowMillis);
            }
        }
    }

    /** Plans from the lasting engines that are listed; the plan is settled when none of them is new. */
    private FleetPlan plan(ServedService service, List<Upstream> engines, long nowMillis) {
        engines.forEach(engine -> firstSeenMillis.putIfAbsent(engine.id(), nowMillis));
        boolean settled = !engines.isEmpty();
        Map<FailureDomainId, Integer> started = new HashMap<>();
        for (Upstream engine : engines) {
            if (!engine.entry().reclaimable()) {
                started.merge(engine.entry().domain(), 1, Integer::sum);
                settled &= nowMillis - firstSeenMillis.get(engine.id()) >= SETTLE_MILLIS;
            }
        }
        return FleetPlanner.plan(service.capacity().orElseThrow(), started, settled);
    }

    private void keep(ServedService service, FleetPlan plan, Map<ServiceId, FleetPlan> plans, VersionedValue kept) {
        Map<ServiceId, FleetPlan> changed = new HashMap<>(plans);
        changed.put(service.id(), plan);
        writing = true;
        long expected = kept == null ? 0 : kept.modRevision();
        byte[] value = FleetPlanCodec.write(changed);
        log.event("fleet.planned")
                .with("service", service.id().value())
                .with("plan", plan.sorted())
                .with("settled", plan.complete())
                .write();
        store.compareAndSwap(
                new AsyncKeyValueStore.Write(planKey, expected, value, LeaseGrant.NONE, List.of()), this::onWritten);
    }

    private void onWritten(Either<Failure, SwapResult> swap) {
        // What is in the store now shows with the next changes; until then nothing is ordered from it.
        writing = false;
        if (swap.isRight() && swap.get().isApplied()) {
            writtenRevision = swap.get().revision();
        } else if (swap.isLeft()) {
            log.event("fleet.planNotKept").with("failure", swap.getLeft()).write();
        }
    }

    /** Returns the plan with the engines that stand in for reclaimable ones. */
    private Map<FailureDomainId, FleetPlan.Counts> wanted(
            ServedService service, FleetPlan plan, List<Upstream> engines, long nowMillis) {
        Set<FailureDomainId> refused = new HashSet<>();
        refusedUntilMillis.forEach((place, until) -> {
            if (place.service().equals(service.id()) && nowMillis < until) {
                refused.add(place.domain());
            }
        });
        Map<FailureDomainId, FleetPlan.Counts> wanted = plan.sorted();
        FleetPlanner.substitutes(plan, service.capacity().orElseThrow(), FleetPlanner.count(engines), refused)
                .forEach((domain, more) -> wanted.computeIfPresent(
                        domain, (same, counts) -> counts.plus(more.lasting(), more.reclaimable())));
        return wanted;
    }

    private void orderMissing(
            FleetOrderClient.Holder holder,
            ServedService service,
            FleetPlan plan,
            Map<FailureDomainId, FleetPlan.Counts> wanted,
            List<Upstream> engines,
            long nowMillis) {
        Map<FailureDomainId, FleetPlan.Counts> present = FleetPlanner.count(engines);
        CapacityRule rule = service.capacity().orElseThrow();
        wanted.forEach((domain, counts) -> {
            FleetPlan.Counts there = present.getOrDefault(domain, FleetPlan.Counts.NONE);
            Subject reclaimable = new Subject(service.id(), domain, true, counts.reclaimable());
            order(holder, reclaimable, there.reclaimable(), rule, nowMillis);
            // The lasting ones are only released once the reclaimable ones are there, or there is no room for these.
            boolean replaced = there.reclaimable() >= counts.reclaimable()
                    || (there.reclaimable() > 0 && there.total() >= rule.maximum());
            if (there.lasting() < counts.lasting() || (plan.complete() && replaced)) {
                Subject lasting = new Subject(service.id(), domain, false, counts.lasting());
                order(holder, lasting, there.lasting(), rule, nowMillis);
            }
        });
    }

    /** Leaves out the lasting engines that will be released, so that none of them changes its stage before. */
    private static List<Upstream> staying(List<Upstream> engines, Map<FailureDomainId, FleetPlan.Counts> wanted) {
        Map<FailureDomainId, Integer> lasting = new HashMap<>();
        return engines.stream()
                .filter(engine -> engine.entry().reclaimable()
                        || lasting.merge(engine.entry().domain(), 1, Integer::sum)
                                <= wanted.getOrDefault(engine.entry().domain(), FleetPlan.Counts.NONE)
                                        .lasting())
                .toList();
    }

    private void order(
            FleetOrderClient.Holder holder, Subject subject, int present, CapacityRule rule, long nowMillis) {
        if (present == subject.count() || nowMillis < orderedUntilMillis.getOrDefault(subject, Long.MIN_VALUE)) {
            return;
        }
        orderedUntilMillis.put(subject, nowMillis + rule.bootMillis() + REPEAT_MILLIS);
        calls.orderEngines(
                holder,
                subject.service(),
                subject.domain(),
                subject.reclaimable(),
                subject.count(),
                result -> onOrdered(holder, subject, present, nowMillis + rule.bootMillis(), result));
    }

    private void onOrdered(
            FleetOrderClient.Holder holder,
            Subject subject,
            int present,
            long bootedAtMillis,
            Either<Failure, FleetOrderClient.Result> result) {
        Place place = new Place(subject.service(), subject.domain());
        if (subject.reclaimable() && result.isRight()) {
            if (result.get() == FleetOrderClient.Result.UNAVAILABLE) {
                refusedUntilMillis.put(place, bootedAtMillis + REFUSED_MILLIS);
            } else {
                refusedUntilMillis.remove(place);
            }
        }
        log.event("fleet.ordered")
                .with("service", subject.service().value())
                .with("domain", subject.domain().value())
                .with("reclaimable", subject.reclaimable())
                .with("count", subject.count())
                .with("present", present)
                .with("fencingNumber", holder.fencingNumber())
                .with("outcome", result.fold(Failure::toString, FleetOrderClient.Result::toString))
                .write();
        noteSuperseded(holder, result);
    }

    private void noteSuperseded(FleetOrderClient.Holder holder, Either<Failure, FleetOrderClient.Result> result) {
        if (result.isRight() && result.get() == FleetOrderClient.Result.SUPERSEDED) {
            refusedNumber = holder.fencingNumber();
        }
    }

    private void orderStages(
            FleetOrderClient.Holder holder, ServedService service, List<Upstream> engines, long nowMillis) {
        long changeMillis = service.engine().orElseThrow().roleSwitchMillis() + STAGE_REPEAT_MILLIS;
        stagesUnderWay.values().removeIf(ordered -> nowMillis >= ordered.untilMillis());
        Map<UpstreamId, EngineStage> underWay = new HashMap<>();
        stagesUnderWay.forEach((engine, ordered) -> underWay.put(engine, ordered.stage()));
        // Half of the engines at a time, so that the others go on serving.
        int most = Math.max(0, (engines.size() + 1) / 2 - underWay.size());
        List<StagePlanner.Change> changes = StagePlanner.plan(engines, underWay);
        changes = changes.subList(0, Math.min(most, changes.size()));
        for (StagePlanner.Change change : changes) {
            stagesUnderWay.put(change.engine().id(), new OrderedStage(change.stage(), nowMillis + changeMillis));
            calls.readAcceptedOrderCount(change.engine(), accepted -> onAcceptedOrders(holder, change, accepted));
        }
    }

    private void onAcceptedOrders(
            FleetOrderClient.Holder holder, StagePlanner.Change change, Either<Failure, Long> accepted) {
        if (accepted.isLeft()) {
            logStage(change, accepted.getLeft().toString());
            return;
        }
        calls.changeStage(holder, change.engine(), change.stage(), accepted.get(), result -> {
            logStage(change, result.fold(Failure::toString, FleetOrderClient.Result::toString));
            noteSuperseded(holder, result);
        });
    }

    private void logStage(StagePlanner.Change change, String outcome) {
        log.event("fleet.stageOrdered")
                .with("upstream", change.engine().id().value())
                .with("stage", change.stage() == EngineStage.PREFILL ? "reading" : "output")
                .with("outcome", outcome)
                .write();
    }
}
