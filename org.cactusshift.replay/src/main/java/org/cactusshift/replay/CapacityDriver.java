package org.cactusshift.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.config.FailureDomainConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.capacity.CapacityPlan;
import org.cactusshift.internal.coordination.capacity.CapacityPlanner;
import org.cactusshift.internal.coordination.capacity.CapacitySnapshot;
import org.cactusshift.internal.coordination.capacity.CapacityTerms;
import org.cactusshift.internal.coordination.capacity.CapacityUpstream;
import org.cactusshift.internal.coordination.capacity.SpreadCapacityPlanner;
import org.cactusshift.internal.coordination.roles.TokenDemand;

/** Executes the plans of the capacity planner: orders, which arrive after a delay, and releases, which drain first. */
final class CapacityDriver {
    private static final int MAXIMUM_UPSTREAMS_PER_FAILURE_DOMAIN = 6;
    /** The share of the token rates of an engine that is planned with. */
    private static final double PLANNED_UTILIZATION = 0.75;
    /** The output tokens per second of an engine with a full batch. */
    private static final double FULL_BATCH_DECODE_TOKENS_PER_SECOND = 800;

    private final TraceHeader header;
    private final EventQueue events;
    private final SimulatedFleet fleet;
    private final FleetDriver fleetDriver;
    private final CapacityPlanner planner = SpreadCapacityPlanner.create();
    private final Map<String, List<CapacityUpstream>> pendingOrdersByService = new HashMap<>();
    /** The upstreams that are being drained for their release or have been released. */
    private final Set<String> releasedIds = new HashSet<>();

    private int nextId;

    CapacityDriver(TraceHeader header, EventQueue events, SimulatedFleet fleet, FleetDriver fleetDriver) {
        this.header = header;
        this.events = events;
        this.fleet = fleet;
        this.fleetDriver = fleetDriver;
        header.services().forEach(service -> pendingOrdersByService.put(service.id(), new ArrayList<>()));
    }

    void plan() {
        for (TraceService service : header.services()) {
            CapacityPlan plan = planner.plan(snapshot(service), events.nowMillis());
            plan.orders().forEach(order -> order(service, order));
            plan.releases().forEach(id -> release(id.value()));
        }
    }

    private CapacitySnapshot snapshot(TraceService service) {
        List<CapacityUpstream> upstreams = new ArrayList<>(pendingOrdersByService.get(service.id()));
        Set<FailureDomainId> unavailableReclaimable = new HashSet<>();
        List<FailureDomainConfig> domains = new ArrayList<>();
        for (SimulatedUpstream upstream : fleet.all()) {
            TraceUpstream declaration = upstream.declaration();
            FailureDomainId domain = FailureDomainId.fromString(declaration.failureDomain());
            FailureDomainConfig config = new FailureDomainConfig(domain, MAXIMUM_UPSTREAMS_PER_FAILURE_DOMAIN);
            if (!domains.contains(config)) {
                domains.add(config);
            }
            if (fleet.isInService(declaration.id()) && declaration.service().equals(service.id())) {
                // An upstream that is being released counts until it is drained; without its id it is not chosen again.
                Optional<UpstreamId> id = Optional.of(UpstreamId.fromString(declaration.id()))
                        .filter(candidate -> !releasedIds.contains(candidate.value()));
                upstreams.add(new CapacityUpstream(id, domain, declaration.reclaimable()));
            } else if (declaration.reclaimable() && !releasedIds.contains(declaration.id())) {
                unavailableReclaimable.add(domain);
            }
        }
        CapacityTerms terms = new CapacityTerms(
                service.orderedPricePerHour(),
                service.reclaimablePricePerHour(),
                header.orderArrivalMillis(),
                // The service is not shut down during a replay.
                Long.MAX_VALUE / 2);
        return new CapacitySnapshot(
                upstreams,
                domains,
                unavailableReclaimable,
                Set.of(),
                neededUpstreams(service),
                service.protectedUpstreams(),
                terms);
    }

    private double neededUpstreams(TraceService service) {
        if (service.kind() == ServiceConfig.Kind.PLAIN) {
            // The requests of a plain service have no tokens, so their demand is always 0.
            return service.protectedUpstreams();
        }
        TokenDemand demand = fleetDriver.fastDemandMeter(service.id()).demand(events.nowMillis());
        double neededEngines = demand.promptTokensPerSecond() / SimulatedEngine.PREFILL_TOKENS_PER_SECOND
                + demand.outputTokensPerSecond() / FULL_BATCH_DECODE_TOKENS_PER_SECOND;
        return neededEngines / PLANNED_UTILIZATION;
    }

    private void order(TraceService service, CapacityPlan.Order order) {
        CapacityUpstream onOrder = new CapacityUpstream(Optional.empty(), order.failureDomain(), order.reclaimable());
        pendingOrdersByService.get(service.id()).add(onOrder);
        boolean model = service.kind() == ServiceConfig.Kind.MODEL;
        TraceUpstream declaration = new TraceUpstream(
                service.id() + "-ordered-" + nextId++,
                service.id(),
                order.failureDomain().value(),
                order.reclaimable(),
                order.reclaimable() ? service.reclaimablePricePerHour() : service.orderedPricePerHour(),
                // The KV cache is as large as that of the first declared upstream.
                model ? header.upstreams().get(0).memoryPieces() : 0);
        events.afterMillis(header.orderArrivalMillis(), () -> {
            pendingOrdersByService.get(service.id()).remove(onOrder);
            fleet.add(declaration, UpstreamConfig.Role.MIXED);
            fleetDriver.installConfig();
        });
    }

    private void release(String id) {
        releasedIds.add(id);
        fleetDriver.drainAndRemove(id);
    }
}
