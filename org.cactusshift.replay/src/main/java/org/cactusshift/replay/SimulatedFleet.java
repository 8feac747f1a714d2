package org.cactusshift.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;

/** The upstreams of a replay, with their cost and the crashes caused by the requests of each fingerprint. */
final class SimulatedFleet {
    private static final long RESTART_MILLIS = 15_000;
    private static final double MILLIS_PER_HOUR = 3_600_000;

    private final EventQueue events;
    private final Map<String, ServiceConfig.Kind> kindsByService = new HashMap<>();
    private final Map<String, SimulatedUpstream> upstreamsById = new LinkedHashMap<>();
    private final Map<String, Long> billedSinceMillis = new TreeMap<>();
    private final Map<SimulatedAttempt, SimulatedUpstream> upstreamsByAttempt = new IdentityHashMap<>();
    private final Map<Long, Integer> crashesByFingerprint = new TreeMap<>();
    private double cost;

    SimulatedFleet(TraceHeader header, ReplayPolicy.FleetVariant variant, EventQueue events) {
        this.events = events;
        boolean onDemand = variant == ReplayPolicy.FleetVariant.ORDERED;
        header.services().forEach(service -> kindsByService.put(service.id(), service.kind()));
        Map<String, Double> onDemandPrices = new HashMap<>();
        header.services().forEach(service -> onDemandPrices.put(service.id(), service.orderedPricePerHour()));
        int index = 0;
        for (TraceUpstream declared : header.upstreams()) {
            TraceUpstream upstream = onDemand ? asOnDemand(declared, onDemandPrices) : declared;
            boolean split = variant == ReplayPolicy.FleetVariant.SPLIT;
            add(upstream, split ? splitRole(index) : UpstreamConfig.Role.MIXED);
            index++;
        }
    }

    private static TraceUpstream asOnDemand(TraceUpstream declared, Map<String, Double> onDemandPrices) {
        return new TraceUpstream(
                declared.id(),
                declared.service(),
                declared.failureDomain(),
                false,
                onDemandPrices.get(declared.service()),
                declared.memoryPieces());
    }

    private static UpstreamConfig.Role splitRole(int index) {
        // Roles alternate by pairs of an on-demand and a reclaimable engine, so that both roles have engines of both
        // kinds.
        return index / 2 % 2 == 0 ? UpstreamConfig.Role.PREFILL : UpstreamConfig.Role.DECODE;
    }

    void add(TraceUpstream declaration, UpstreamConfig.Role role) {
        SimulatedUpstream upstream = kind(declaration.service()) == ServiceConfig.Kind.MODEL
                ? newEngine(declaration, role)
                : new SimulatedPlainService(declaration, events);
        upstreamsById.put(declaration.id(), upstream);
        billedSinceMillis.put(declaration.id(), events.nowMillis());
    }

    private SimulatedEngine newEngine(TraceUpstream declaration, UpstreamConfig.Role role) {
        return new SimulatedEngine(declaration, role, events, request -> crashOnRequest(request, declaration.id()));
    }

    private void crashOnRequest(TraceEvent.Request request, String upstream) {
        crashesByFingerprint.merge(request.fingerprint(), 1, Integer::sum);
        crash(upstream, RESTART_MILLIS);
    }

    ServiceConfig.Kind kind(String service) {
        return kindsByService.get(service);
    }

    SimulatedUpstream find(String id) {
        return upstreamsById.get(id);
    }

    List<SimulatedUpstream> all() {
        return List.copyOf(upstreamsById.values());
    }

    List<SimulatedEngine> engines(String service) {
        return upstreamsById.values().stream()
                .filter(SimulatedEngine.class::isInstance)
                .map(SimulatedEngine.class::cast)
                .filter(engine -> engine.declaration().service().equals(service))
                .toList();
    }

    void accept(SimulatedUpstream target, SimulatedAttempt attempt) {
        upstreamsByAttempt.put(attempt, target);
        target.accept(attempt);
        if (attempt.ended) {
            upstreamsByAttempt.remove(attempt);
        }
    }

    void cancel(SimulatedAttempt attempt) {
        SimulatedUpstream target = upstreamsByAttempt.remove(attempt);
        if (target != null) {
            target.cancel(attempt);
        }
    }

    void crash(String id, long restartMillis) {
        SimulatedUpstream upstream = upstreamsById.get(id);
        if (upstream != null && !upstream.isDown()) {
            upstream.crash();
            events.afterMillis(restartMillis, upstream::restart);
        }
    }

    /** Stops an upstream, which ends its open attempts as crashed, and stops billing it. */
    void remove(String id) {
        SimulatedUpstream upstream = upstreamsById.get(id);
        if (!upstream.isDown()) {
            upstream.crash();
        }
        stopBilling(id);
    }

    /** Returns a removed upstream to service and bills it again. */
    void restore(String id) {
        upstreamsById.get(id).restart();
        billedSinceMillis.put(id, events.nowMillis());
    }

    private void stopBilling(String id) {
        Long since = billedSinceMillis.remove(id);
        if (since != null) {
            double hours = (events.nowMillis() - since) / MILLIS_PER_HOUR;
            cost += hours * upstreamsById.get(id).declaration().pricePerHour();
        }
    }

    /** Ends the billing of all upstreams and returns the total cost, in the currency of the trace. */
    double finishBilling() {
        List.copyOf(billedSinceMillis.keySet()).forEach(this::stopBilling);
        return cost;
    }

    /** Returns whether an upstream is in service and billed, which a crash doesn't change. */
    boolean isInService(String id) {
        return billedSinceMillis.containsKey(id);
    }

    int mostCrashesByOneFingerprint() {
        return crashesByFingerprint.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    /** Returns the configurations of the upstreams in service, as nodes receive them. */
    List<UpstreamConfig> configs() {
        List<UpstreamConfig> configs = new ArrayList<>();
        upstreamsById.forEach((id, upstream) -> {
            if (isInService(id)) {
                configs.add(config(upstream));
            }
        });
        return configs;
    }

    private static UpstreamConfig config(SimulatedUpstream upstream) {
        TraceUpstream declaration = upstream.declaration();
        UpstreamConfig.Role role =
                upstream instanceof SimulatedEngine ? ((SimulatedEngine) upstream).role() : UpstreamConfig.Role.MIXED;
        return new UpstreamConfig(
                UpstreamId.fromString(declaration.id()),
                ServiceId.fromString(declaration.service()),
                FailureDomainId.fromString(declaration.failureDomain()),
                // A placeholder: a replay opens no connections.
                "127.0.0.1:1",
                role,
                declaration.reclaimable(),
                true,
                false,
                declaration.pricePerHour(),
                declaration.memoryPieces());
    }
}
