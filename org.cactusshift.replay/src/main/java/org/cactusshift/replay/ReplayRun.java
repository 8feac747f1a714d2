package org.cactusshift.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.AccountServiceTotals;
import org.cactusshift.internal.coordination.dispatch.DispatchPolicy;
import org.cactusshift.internal.coordination.dispatch.EngineLoad;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;
import org.cactusshift.internal.coordination.quarantine.CrashSuspectReport;
import org.cactusshift.internal.coordination.routing.PrefixIndex;

/** Replays one trace under one policy in virtual time. */
final class ReplayRun {
    private static final long TICK_MILLIS = 50;
    private static final long ROLE_PLANNING_PERIOD_MILLIS = 5_000;
    private static final long CAPACITY_PLANNING_PERIOD_MILLIS = 10_000;
    /** The time until the account totals and crash suspects of a node reach the other nodes. */
    private static final long SUMMARY_DELAY_MILLIS = 100;

    private static final long ORACLE_REPORT_PERIOD_MILLIS = 25;
    /** The time after the end of the trace in which open requests can still complete. */
    private static final long COMPLETION_GRACE_MILLIS = 60_000;
    /** The probability with which each cache event of an engine is lost on its way to the nodes. */
    private static final double CACHE_EVENT_LOSS_PROBABILITY = 0.05;

    private final Trace trace;
    private final ReplayPolicy policy;
    private final Random random;
    private final EventQueue events = new EventQueue();
    private final Map<String, ReplayedRequest> replayedById = new LinkedHashMap<>();
    private final Map<String, TraceEvent.Request> traceRequestsById = new HashMap<>();
    private final List<AccountConfig> accounts = new ArrayList<>();
    private final List<SimulatedNode> nodes = new ArrayList<>();
    /** The totals at the last exchange, by node index, service and client account, joined by slashes. */
    private final Map<String, AccountServiceTotals> lastSentTotalsByKey = new HashMap<>();

    private final SimulatedFleet fleet;
    private final FleetDriver fleetDriver;
    private final MeasureCollector measureCollector;
    private final boolean oracle;
    private long currentReportLagMillis;

    private ReplayRun(Trace trace, ReplayPolicy policy, long seed) {
        this.trace = trace;
        this.policy = policy;
        this.random = new Random(seed);
        this.oracle = policy.kind() == ReplayPolicy.Kind.ORACLE;
        this.fleet = new SimulatedFleet(trace.header(), policy.fleetVariant(), events);
        for (TraceAccount account : trace.header().accounts()) {
            accounts.add(new AccountConfig(
                    AccountId.fromString(account.id()),
                    account.weight(),
                    account.tokensPerSecond(),
                    account.maximumConcurrentRequests(),
                    List.of(),
                    List.of()));
        }
        int nodeCount = oracle ? 1 : trace.header().nodes();
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new SimulatedNode(i, nodeCount, trace.header().services(), this::dispatchPolicy, events, fleet));
        }
        this.fleetDriver = new FleetDriver(trace.header(), policy, events, fleet, nodes, accounts);
        this.measureCollector = new MeasureCollector(trace.header(), replayedById, fleet);
        this.currentReportLagMillis = oracle ? 0 : trace.header().reportLagMillis();
    }

    static PolicyResult run(Trace trace, ReplayPolicy policy, long seed) {
        return new ReplayRun(trace, policy, seed).run();
    }

    private DispatchPolicy dispatchPolicy() {
        if (!oracle) {
            return policy.dispatch().get();
        }
        return new DispatchPolicy(
                new OracleRouting(fleet, traceRequestsById), DispatchPolicy.Queueing.FAIR, true, true, true);
    }

    private PolicyResult run() {
        fleetDriver.installConfig();
        trace.events().forEach(event -> events.atMillis(event.atMillis(), () -> applyEvent(event)));
        long endMillis = trace.header().durationMillis();
        schedulePeriodically(
                oracle ? ORACLE_REPORT_PERIOD_MILLIS : trace.header().reportPeriodMillis(), this::publishReports);
        schedulePeriodically(trace.header().summaryPeriodMillis(), this::exchangeSummaries);
        schedulePeriodically(TICK_MILLIS, this::tick);
        schedulePeriodically(ROLE_PLANNING_PERIOD_MILLIS, fleetDriver::planRoles);
        if (policy.fleetVariant() == ReplayPolicy.FleetVariant.PLANNED) {
            CapacityDriver capacityDriver = new CapacityDriver(trace.header(), events, fleet, fleetDriver);
            schedulePeriodically(CAPACITY_PLANNING_PERIOD_MILLIS, capacityDriver::plan);
        }
        schedulePeriodically(
                MeasureCollector.TIMELINE_STEP_MILLIS, () -> measureCollector.recordRoles(events.nowMillis()));
        events.runUntilMillis(endMillis + COMPLETION_GRACE_MILLIS);
        return measureCollector.result(policy.name(), fleetDriver.roleChanges());
    }

    private void schedulePeriodically(long periodMillis, Runnable action) {
        events.afterMillis(periodMillis, () -> {
            action.run();
            schedulePeriodically(periodMillis, action);
        });
    }

    private void applyEvent(TraceEvent event) {
        if (event instanceof TraceEvent.Request) {
            submitToRandomNode((TraceEvent.Request) event);
        } else if (event instanceof TraceEvent.Reclaim) {
            fleetDriver.reclaim((TraceEvent.Reclaim) event);
        } else if (event instanceof TraceEvent.Withdraw) {
            fleetDriver.drainAndRemove(((TraceEvent.Withdraw) event).upstream());
        } else if (event instanceof TraceEvent.Crash) {
            fleetDriver.crash((TraceEvent.Crash) event);
        } else if (event instanceof TraceEvent.ReportLag && !oracle) {
            TraceEvent.ReportLag lag = (TraceEvent.ReportLag) event;
            currentReportLagMillis = lag.lagMillis();
            events.atMillis(
                    lag.untilMillis(),
                    () -> currentReportLagMillis = trace.header().reportLagMillis());
        }
    }

    private void submitToRandomNode(TraceEvent.Request request) {
        ReplayedRequest replayed = new ReplayedRequest(request);
        replayedById.put(request.id(), replayed);
        traceRequestsById.put(request.id(), request);
        fleetDriver.onArrival(request);
        nodes.get(random.nextInt(nodes.size())).submit(replayed, oracle);
    }

    private void publishReports() {
        for (SimulatedUpstream upstream : fleet.all()) {
            if (upstream.isDown()) {
                continue;
            }
            EngineLoad load = upstream.load();
            List<PrefixIndex.Event> cacheEvents = cacheEvents(upstream);
            events.afterMillis(currentReportLagMillis, () -> deliver(upstream, load, cacheEvents));
        }
    }

    private List<PrefixIndex.Event> cacheEvents(SimulatedUpstream upstream) {
        if (!(upstream instanceof SimulatedEngine)) {
            return List.of();
        }
        return ((SimulatedEngine) upstream)
                .cache().drainEvents().stream()
                        .filter(event -> random.nextDouble() >= CACHE_EVENT_LOSS_PROBABILITY)
                        .toList();
    }

    private void deliver(SimulatedUpstream upstream, EngineLoad load, List<PrefixIndex.Event> cacheEvents) {
        UpstreamId id = UpstreamId.fromString(upstream.declaration().id());
        String service = upstream.declaration().service();
        for (SimulatedNode node : nodes) {
            ServiceDispatcher dispatcher = node.dispatchers().get(service);
            dispatcher.onCacheEvents(id, cacheEvents);
            node.applyDecisions(service, dispatcher.onLoad(id, load, events.nowMillis()));
        }
    }

    private void tick() {
        for (SimulatedNode node : nodes) {
            node.dispatchers()
                    .forEach((service, dispatcher) ->
                            node.applyDecisions(service, dispatcher.onTick(events.nowMillis())));
        }
    }

    private void exchangeSummaries() {
        for (TraceService service : trace.header().services()) {
            for (int from = 0; from < nodes.size(); from++) {
                sendTotalsIncrease(service.id(), from);
            }
            exchangeCrashSuspects(service.id());
        }
    }

    /**
     * Sends the tokens that a node has counted since the last exchange to all other nodes. The number of requests in
     * flight is not exchanged in a replay, so 0 is sent.
     */
    private void sendTotalsIncrease(String service, int from) {
        for (AccountServiceTotals totals :
                nodes.get(from).dispatchers().get(service).accountTotals()) {
            String key = from + "/" + service + "/" + totals.account();
            AccountServiceTotals last = lastSentTotalsByKey.put(key, totals);
            long prefill = totals.prefillTokens() - (last == null ? 0 : last.prefillTokens());
            long decode = totals.decodeTokens() - (last == null ? 0 : last.decodeTokens());
            if (prefill == 0 && decode == 0) {
                continue;
            }
            events.afterMillis(SUMMARY_DELAY_MILLIS, () -> {
                for (int to = 0; to < nodes.size(); to++) {
                    if (to != from) {
                        nodes.get(to)
                                .dispatchers()
                                .get(service)
                                .onRemoteServedTokens(totals.account(), prefill, decode, 0, events.nowMillis());
                    }
                }
            });
        }
    }

    private void exchangeCrashSuspects(String service) {
        for (int to = 0; to < nodes.size(); to++) {
            Map<Long, Integer> crashes = new HashMap<>();
            for (int from = 0; from < nodes.size(); from++) {
                if (from != to) {
                    for (CrashSuspectReport suspect :
                            nodes.get(from).dispatchers().get(service).crashSuspects(events.nowMillis())) {
                        crashes.merge(suspect.fingerprint(), suspect.crashes(), Integer::sum);
                    }
                }
            }
            ServiceDispatcher receiver = nodes.get(to).dispatchers().get(service);
            events.afterMillis(
                    SUMMARY_DELAY_MILLIS,
                    () -> crashes.forEach((fingerprint, count) ->
                            receiver.onRemoteCrashSuspect(fingerprint, count, events.nowMillis())));
        }
    }
}
