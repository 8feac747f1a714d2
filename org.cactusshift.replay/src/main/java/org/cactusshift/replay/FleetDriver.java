package org.cactusshift.replay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;
import org.cactusshift.internal.coordination.roles.DemandMeter;
import org.cactusshift.internal.coordination.roles.EngineInRole;
import org.cactusshift.internal.coordination.roles.EngineRates;
import org.cactusshift.internal.coordination.roles.RoleChange;
import org.cactusshift.internal.coordination.roles.RolePlanner;
import org.cactusshift.internal.coordination.roles.RoleSnapshot;

/** Executes changes of the fleet: reclaims, withdrawals, crashes and role changes, with their drains. */
final class FleetDriver {
    /** The time until nodes learn that upstreams will be reclaimed or are back. */
    private static final long RECLAIM_NOTICE_LAG_MILLIS = 1_000;
    /** The time until nodes learn of a drain that the driver starts or ends. */
    private static final long ORDER_LAG_MILLIS = 100;

    private static final long DRAIN_POLL_MILLIS = 200;
    private static final long RESTART_MILLIS = 15_000;
    /** The times after which an arrival counts for 1/e in the averages of the demand. */
    private static final long FAST_DEMAND_DECAY_MILLIS = 20_000;

    private static final long SLOW_DEMAND_DECAY_MILLIS = 120_000;

    /** The output tokens per second of an engine with a full batch. */
    private static final double FULL_BATCH_DECODE_TOKENS_PER_SECOND = 800;

    private final TraceHeader header;
    private final EventQueue events;
    private final SimulatedFleet fleet;
    private final List<SimulatedNode> nodes;
    private final List<AccountConfig> accounts;
    private final Map<String, RolePlanner> rolePlannersByService = new HashMap<>();
    private final Map<String, DemandMeter> fastDemandMetersByService = new HashMap<>();
    private final Map<String, DemandMeter> slowDemandMetersByService = new HashMap<>();
    private final Map<String, Long> inRoleSinceMillisByEngine = new HashMap<>();
    private final Set<String> changingRoles = new HashSet<>();
    private int roleChanges;

    FleetDriver(
            TraceHeader header,
            ReplayPolicy policy,
            EventQueue events,
            SimulatedFleet fleet,
            List<SimulatedNode> nodes,
            List<AccountConfig> accounts) {
        this.header = header;
        this.events = events;
        this.fleet = fleet;
        this.nodes = nodes;
        this.accounts = accounts;
        for (TraceService service : header.services()) {
            rolePlannersByService.put(service.id(), policy.roles().get());
            fastDemandMetersByService.put(service.id(), DemandMeter.create(FAST_DEMAND_DECAY_MILLIS, 0));
            slowDemandMetersByService.put(service.id(), DemandMeter.create(SLOW_DEMAND_DECAY_MILLIS, 0));
        }
    }

    int roleChanges() {
        return roleChanges;
    }

    void onArrival(TraceEvent.Request request) {
        long nowMillis = events.nowMillis();
        fastDemandMetersByService
                .get(request.service())
                .onArrival(request.promptTokens(), request.outputTokens(), nowMillis);
        slowDemandMetersByService
                .get(request.service())
                .onArrival(request.promptTokens(), request.outputTokens(), nowMillis);
    }

    DemandMeter fastDemandMeter(String service) {
        return fastDemandMetersByService.get(service);
    }

    void reclaim(TraceEvent.Reclaim reclaim) {
        List<String> lost = fleet.all().stream()
                .map(SimulatedUpstream::declaration)
                .filter(TraceUpstream::reclaimable)
                .filter(upstream -> upstream.failureDomain().equals(reclaim.failureDomain()))
                .map(TraceUpstream::id)
                .filter(fleet::isInService)
                .toList();
        for (String id : lost) {
            announceExclusion(id, true, RECLAIM_NOTICE_LAG_MILLIS);
            events.afterMillis(reclaim.noticeMillis(), () -> fleet.remove(id));
            events.afterMillis(reclaim.noticeMillis() + reclaim.backAfterMillis(), () -> {
                fleet.restore(id);
                announceExclusion(id, false, RECLAIM_NOTICE_LAG_MILLIS);
            });
        }
    }

    void drainAndRemove(String id) {
        announceExclusion(id, true, ORDER_LAG_MILLIS);
        whenDrained(id, () -> {
            fleet.remove(id);
            installConfig();
        });
    }

    void crash(TraceEvent.Crash crash) {
        fleet.crash(crash.upstream(), crash.restartMillis().orElse(RESTART_MILLIS));
    }

    void installConfig() {
        List<UpstreamConfig> configs = fleet.configs();
        nodes.forEach(node -> node.installConfig(accounts, configs));
    }

    /** Informs all nodes after a lag that an upstream is excluded or no longer excluded. */
    void announceExclusion(String id, boolean excluded, long lagMillis) {
        String service = fleet.find(id).declaration().service();
        events.afterMillis(
                lagMillis,
                () -> nodes.forEach(node -> node.applyDecisions(
                        service,
                        node.dispatchers()
                                .get(service)
                                .onExclusionChanged(UpstreamId.fromString(id), excluded, events.nowMillis()))));
    }

    /** Polls until no node has an open attempt at an upstream, then runs an action; there is no time limit. */
    void whenDrained(String id, Runnable action) {
        events.afterMillis(ORDER_LAG_MILLIS + DRAIN_POLL_MILLIS, () -> {
            if (openAttempts(id) == 0) {
                action.run();
            } else {
                whenDrained(id, action);
            }
        });
    }

    private int openAttempts(String id) {
        String service = fleet.find(id).declaration().service();
        int openAttempts = 0;
        for (SimulatedNode node : nodes) {
            ServiceDispatcher dispatcher = node.dispatchers().get(service);
            openAttempts += dispatcher.openAttempts(UpstreamId.fromString(id));
        }
        return openAttempts;
    }

    void planRoles() {
        for (TraceService service : header.services()) {
            List<SimulatedEngine> engines = fleet.engines(service.id()).stream()
                    .filter(engine -> !engine.isDown())
                    .toList();
            long nowMillis = events.nowMillis();
            RoleSnapshot snapshot = new RoleSnapshot(
                    engines.stream().map(this::toEngineInRole).toList(),
                    fastDemandMetersByService.get(service.id()).demand(nowMillis),
                    slowDemandMetersByService.get(service.id()).demand(nowMillis),
                    new EngineRates(
                            SimulatedEngine.PREFILL_TOKENS_PER_SECOND,
                            FULL_BATCH_DECODE_TOKENS_PER_SECOND,
                            header.roleChangeMillis()));
            rolePlannersByService.get(service.id()).plan(snapshot, nowMillis).forEach(this::changeRole);
        }
    }

    private EngineInRole toEngineInRole(SimulatedEngine engine) {
        String id = engine.declaration().id();
        return new EngineInRole(
                UpstreamId.fromString(id),
                FailureDomainId.fromString(engine.declaration().failureDomain()),
                engine.role(),
                changingRoles.contains(id),
                inRoleSinceMillisByEngine.getOrDefault(id, 0L));
    }

    private void changeRole(RoleChange change) {
        String id = change.engine().value();
        SimulatedEngine engine = (SimulatedEngine) fleet.find(id);
        changingRoles.add(id);
        roleChanges++;
        announceExclusion(id, true, ORDER_LAG_MILLIS);
        whenDrained(id, () -> {
            engine.startRoleChange();
            events.afterMillis(header.roleChangeMillis(), () -> {
                engine.finishRoleChange(change.role());
                changingRoles.remove(id);
                inRoleSinceMillisByEngine.put(id, events.nowMillis());
                installConfig();
                announceExclusion(id, false, ORDER_LAG_MILLIS);
            });
        });
    }
}
