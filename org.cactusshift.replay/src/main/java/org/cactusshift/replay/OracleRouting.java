package org.cactusshift.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cactusshift.internal.coordination.routing.Candidate;
import org.cactusshift.internal.coordination.routing.FleetView;
import org.cactusshift.internal.coordination.routing.RouteQuery;
import org.cactusshift.internal.coordination.routing.RoutingDecision;
import org.cactusshift.internal.coordination.routing.RoutingPolicy;
import org.cactusshift.internal.coordination.routing.UpstreamState;

/** Routes by the true upstream states and output lengths, which no real policy can know; a reference for the others. */
final class OracleRouting implements RoutingPolicy {
    /** The prefill backlog above which an engine is given no request. */
    private static final double MAXIMUM_BACKLOG_MILLIS = 500;

    private static final double PARTITION_PENALTY_MILLIS = 1_500;

    private final SimulatedFleet fleet;
    private final Map<String, TraceEvent.Request> requestsById;

    OracleRouting(SimulatedFleet fleet, Map<String, TraceEvent.Request> requestsById) {
        this.fleet = fleet;
        this.requestsById = requestsById;
    }

    @Override
    public Optional<RoutingDecision> choose(FleetView view, RouteQuery query, long nowMillis, RandomGenerator random) {
        TraceEvent.Request request = requestsById.get(query.request().id().value());
        List<Candidate> candidates = new ArrayList<>();
        boolean hasUpstreamInPartition = view.upstreams().stream()
                .anyMatch(state -> query.allows(state, nowMillis) && query.isInPartition(state));
        for (UpstreamState state : view.upstreams()) {
            SimulatedUpstream upstream = fleet.find(state.id().value());
            boolean excludedByPartition = hasUpstreamInPartition
                    && !query.isInPartition(state)
                    && query.isLong()
                    && upstream.load().running() > 0;
            if (query.allows(state, nowMillis) && !upstream.isDown() && !excludedByPartition) {
                candidates.add(
                        upstream instanceof SimulatedEngine
                                ? evaluate(state, (SimulatedEngine) upstream, query, request)
                                : evaluate(state, upstream, request));
            }
        }
        return candidates.stream()
                .filter(Candidate::hasRoom)
                .min(Comparator.comparingDouble(Candidate::costMillis))
                .map(chosen -> new RoutingDecision(
                        view.find(chosen.upstream()).orElseThrow(), Optional.empty(), chosen, candidates));
    }

    private static Candidate evaluate(
            UpstreamState state, SimulatedEngine engine, RouteQuery query, TraceEvent.Request request) {
        var load = engine.load();
        int cachedBlocks = engine.cache().countCached(query.request().prefixHashes());
        long cachedTokens = Math.min(query.prefillTokens(), (long) cachedBlocks * UpstreamState.BLOCK_TOKENS);
        double backlogMillis = load.queuedPrefillTokens() * 1_000.0 / load.prefillTokensPerSecond();
        double prefillMillis = (query.prefillTokens() - cachedTokens) * 1_000.0 / load.prefillTokensPerSecond();
        double decodeMillis = request.outputTokens() * 1_000.0 / load.decodeTokensPerSecond();
        long tokens = query.prefillTokens() + request.outputTokens();
        long requiredBlocks = (tokens + UpstreamState.BLOCK_TOKENS - 1) / UpstreamState.BLOCK_TOKENS;
        boolean fits = load.usedBlocks() + requiredBlocks <= load.totalBlocks() || load.running() == 0;
        return new Candidate(
                state.id(),
                backlogMillis + prefillMillis,
                backlogMillis + prefillMillis + decodeMillis,
                backlogMillis
                        + prefillMillis
                        + decodeMillis
                        + (query.isInPartition(state) ? 0 : PARTITION_PENALTY_MILLIS),
                cachedTokens,
                fits && load.waiting() == 0 && backlogMillis <= MAXIMUM_BACKLOG_MILLIS,
                Optional.empty());
    }

    private static Candidate evaluate(UpstreamState state, SimulatedUpstream upstream, TraceEvent.Request request) {
        var load = upstream.load();
        // Divided by the number of workers of a simulated instance.
        double waitMillis = (load.running() + load.waiting()) * request.serviceMillis() / 4.0;
        return new Candidate(
                state.id(), waitMillis, waitMillis + request.serviceMillis(), waitMillis, 0, true, Optional.empty());
    }
}
