package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.routing.UpstreamHealth;

/**
 * Chooses the upstream of a request by lowest cost, in milliseconds: the expected time to the first part of the
 * response, the delay that the choice causes for other requests, and penalties.
 *
 * <p>Each prompt part that requests share has a preferred engine among the engines of a stage, determined by rendezvous
 * hashing, so that nodes agree on it without communication. A busy preferred engine is skipped when another engine
 * responds sooner by more than the transfer of the parts costs.
 */
public final class Placer {
    /**
     * The assumed time to prefill one token, for comparing the prefill backlogs of decode engines; an engine prefills
     * about 40 tokens per ms.
     */
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.03;

    /** The penalty for an upstream in another failure domain, per KiB of the request body: requests cross the link. */
    private static final double OTHER_DOMAIN_PENALTY_MILLIS_PER_KIB = 0.2;

    /** The fixed part of the penalty for an upstream in another failure domain. */
    private static final double OTHER_DOMAIN_PENALTY_MILLIS = 5;

    /** The penalty for a KV-cache transfer between two engines. */
    private static final double KV_TRANSFER_PENALTY_MILLIS = 15;

    /**
     * The penalty for prefilling a shared part on another than its preferred engine while no engine has it cached:
     * other nodes send the part to the preferred engine at the same time, and it is prefilled twice.
     */
    private static final double UNCACHED_NON_PREFERRED_PENALTY_MILLIS = 800;

    /** The assumed arrival rate at a busy engine, in requests per millisecond. */
    private static final double ARRIVALS_PER_MILLISECOND = 0.02;

    /**
     * The estimated delay of a request, over its whole output, by each other request in the same batch: some tenths of
     * a ms for each output token.
     */
    private static final double BATCHING_MILLIS_PER_REQUEST = 6;

    /** The fraction of the requests at an engine that wait for a token at any moment, so that a prefill delays them. */
    private static final double DELAYED_REQUEST_FRACTION = 0.5;

    /**
     * The number of engines in the preference list of a part, each of which may have cached it although no node
     * advertised that: the preferred engine, and the next one in case the set of engines changed.
     */
    private static final int PREFERENCE_LIST_LENGTH = 2;

    /** Cached parts are fetched only if this saves at least this many tokens of prefill. */
    private static final int MINIMUM_FETCH_TOKENS = 1_024;

    /**
     * The penalty for prefilling or decoding on another than the preferred engine of the shared part: a further copy of
     * its KV cache.
     */
    private static final double NON_PREFERRED_PENALTY_MILLIS = 60;

    /** The penalty at a failure rate of 1: a retry, which takes the time of several responses. */
    private static final double FAILURE_PENALTY_MILLIS = 400;

    /**
     * An upstream without progress for this time and for {@link #UNRESPONSIVE_LATENCY_FACTOR} times the expected
     * latency is considered unresponsive.
     */
    private static final long UNRESPONSIVE_MILLIS = 700;

    private static final double UNRESPONSIVE_LATENCY_FACTOR = 3;

    /** The upper bound of the random time that is added to each cost to break ties. */
    private static final double TIE_BREAK_JITTER_MILLIS = 2;

    /**
     * How far the recent work of an upstream may lie below the average, in requests by slots: one that is new or was
     * paused is not sent all requests until it has caught up.
     */
    private static final double MAXIMUM_LAG = 0.5;

    private final UpstreamDirectory directory;
    private final UpstreamRequestLimits limits;
    private final Function<ServiceId, Optional<ServedService>> serviceLookup;
    private final LatencyEstimator latency;
    private final RandomGenerator random;

    private Placer(
            UpstreamDirectory directory,
            UpstreamRequestLimits limits,
            Function<ServiceId, Optional<ServedService>> serviceLookup,
            LatencyEstimator latency,
            RandomGenerator random) {
        this.directory = directory;
        this.limits = limits;
        this.serviceLookup = serviceLookup;
        this.latency = latency;
        this.random = random;
    }

    /**
     * Creates a placer.
     *
     * @param directory the upstreams
     * @param limits the request limits of the upstreams
     * @param serviceLookup looks up a service of the active configuration
     * @param latency the latency estimates of the upstreams
     * @param random the source of the random tie-breaking
     * @return the placer
     */
    public static Placer create(
            UpstreamDirectory directory,
            UpstreamRequestLimits limits,
            Function<ServiceId, Optional<ServedService>> serviceLookup,
            LatencyEstimator latency,
            RandomGenerator random) {
        return new Placer(directory, limits, serviceLookup, latency, random);
    }

    /**
     * Chooses the upstreams of a request.
     *
     * @param query the request
     * @param nowMillis the current time
     * @return the placement; empty when every upstream is leaving, excluded, at its request limit or without memory for
     *     the request, or only prefill engines are left
     */
    public Optional<Placement> place(PlacementQuery query, long nowMillis) {
        List<Upstream> usable = usable(query, nowMillis);
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        Optional<EngineCapabilities> engine =
                serviceLookup.apply(query.request().service()).flatMap(ServedService::engine);
        if (engine.isEmpty()) {
            return choosePlain(query, usable, nowMillis);
        }
        // An engine crashes when the requests that it holds exceed its memory.
        usable.removeIf(upstream -> !upstream.hasMemoryFor(
                query.request().heldTokens(upstream.entry().stage() == EngineStage.PREFILL),
                engine.get().kvCapacityTokens()));
        return chooseEngine(query, usable, nowMillis);
    }

    /**
     * Returns when the request limits and the rests of the upstreams allow a placement, if nothing else prevents it.
     *
     * @param query the request
     * @param nowMillis the current time
     * @return the current time, a later time or {@link UpstreamRequestLimits#NEVER}; empty when every upstream is
     *     leaving, excluded or of another version, or only prefill engines are left
     */
    public OptionalLong earliestPlacementMillis(PlacementQuery query, long nowMillis) {
        return accepting(query).stream()
                .filter(upstream -> upstream.entry().stage() != EngineStage.PREFILL)
                .mapToLong(upstream -> Math.max(
                        limits.earliestSendMillis(upstream.incarnation(), nowMillis),
                        upstream.rest().endMillis()))
                .min();
    }

    private List<Upstream> accepting(PlacementQuery query) {
        List<Upstream> accepting = directory.acceptingWork(query.request().service());
        accepting.removeIf(upstream -> query.excluded().contains(upstream.id())
                || !query.softwareVersions().test(upstream.entry().softwareVersion()));
        return accepting;
    }

    /**
     * Returns the healthy upstreams that were not excluded, are within their request limits and do not rest; when there
     * are none, all that accept new requests, were not excluded, are within their limits and do not rest, as an attempt
     * is better than no attempt.
     */
    private List<Upstream> usable(PlacementQuery query, long nowMillis) {
        List<Upstream> accepting = accepting(query);
        accepting.removeIf(upstream -> limits.earliestSendMillis(upstream.incarnation(), nowMillis) > nowMillis
                || !upstream.rest().allowsRequest(upstream.openRequests(), nowMillis));
        List<Upstream> healthy = new ArrayList<>();
        for (Upstream upstream : accepting) {
            UpstreamHealth.State state = upstream.healthState(nowMillis);
            boolean isProbe = state == UpstreamHealth.State.PROBE_DUE
                    && query.request().route().isRetryable();
            boolean isResponsive = !upstream.isPausedAfterRefusal(nowMillis)
                    && !upstream.isChangingStage(nowMillis)
                    && !isUnresponsive(upstream, nowMillis);
            if ((state == UpstreamHealth.State.UP || isProbe) && isResponsive) {
                healthy.add(upstream);
            }
        }
        return healthy.isEmpty() ? accepting : healthy;
    }

    private boolean isUnresponsive(Upstream upstream, long nowMillis) {
        long withoutProgressMillis = upstream.millisSinceProgress(nowMillis);
        if (withoutProgressMillis < UNRESPONSIVE_MILLIS) {
            return false;
        }
        double expected = latency.firstPartMillis(
                upstream.entry().service(), upstream.prefillStage(), upstream.pendingPrefillTokens());
        return withoutProgressMillis > UNRESPONSIVE_LATENCY_FACTOR * expected;
    }

    private Optional<Placement> choosePlain(PlacementQuery query, List<Upstream> usable, long nowMillis) {
        double baseMillis = latency.firstPartMillis(query.request().service(), EngineStage.ANY, 0);
        double leastRecentWork = averageRecentWork(usable, nowMillis) - MAXIMUM_LAG;
        Upstream best = null;
        double bestCostMillis = Double.MAX_VALUE;
        double bestMillis = 0;
        for (Upstream upstream : usable) {
            double relativeTime = upstream.performance().relativeTime(nowMillis);
            int requests = upstream.totalRequests(nowMillis);
            double relativeQueueLength = SentWork.relativeQueueLength(requests, upstream.usableSlots(nowMillis));
            double recentWork = Math.max(leastRecentWork, recentWork(upstream, relativeTime, nowMillis));
            double openWork = relativeTime * (requests + 1) / upstream.usableSlots(nowMillis);
            double responseMillis = baseMillis * relativeTime * (1 + relativeQueueLength);
            // The time that each request takes everywhere is left out, so that slower upstreams get their share.
            double costMillis = baseMillis * relativeTime * relativeQueueLength
                    + baseMillis * (openWork + recentWork) / 2
                    + penaltyMillis(query, upstream, nowMillis)
                    + random.nextDouble() * TIE_BREAK_JITTER_MILLIS;
            if (costMillis < bestCostMillis) {
                best = upstream;
                bestCostMillis = costMillis;
                bestMillis = responseMillis;
            }
        }
        return Optional.of(new Placement(
                best, Optional.empty(), Optional.empty(), 0, Math.round(bestMillis), Math.round(bestMillis)));
    }

    /** Returns the work that this node has lately sent to an upstream, relative to what the upstream does at a time. */
    private static double recentWork(Upstream upstream, double relativeTime, long nowMillis) {
        return relativeTime * upstream.recentRequests(nowMillis) / upstream.usableSlots(nowMillis);
    }

    private static double averageRecentWork(List<Upstream> upstreams, long nowMillis) {
        double sum = 0;
        for (Upstream upstream : upstreams) {
            sum += recentWork(upstream, upstream.performance().relativeTime(nowMillis), nowMillis);
        }
        return sum / upstreams.size();
    }

    private Optional<Placement> chooseEngine(PlacementQuery query, List<Upstream> usable, long nowMillis) {
        List<Upstream> prefillEngines = enginesOfStage(usable, EngineStage.PREFILL);
        List<Upstream> targets = new ArrayList<>(usable);
        targets.removeAll(prefillEngines);
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        Optional<PromptPart> shared = sharedPart(query.request());
        // A leaving engine still serves KV-cache transfers to other engines.
        List<Upstream> cachingEngines = shared.map(
                        part -> enginesCaching(directory.listed(query.request().service()), part))
                .orElse(List.of());
        Optional<Upstream> preferredTarget =
                shared.map(part -> preferredEngines(part, targets).get(0));
        List<Upstream> preferredPrefillEngines = shared.map(
                        part -> preferredEngines(part, prefillEngines.isEmpty() ? targets : prefillEngines))
                .orElse(List.of());
        Scored best = null;
        for (Upstream upstream : targets) {
            boolean isPreferred = prefillEngines.isEmpty()
                    && preferredTarget.filter(upstream::equals).isPresent();
            Prefill prefill = prefill(query.request(), upstream, cachingEngines, preferredPrefillEngines);
            best = cheaper(best, directCost(query, upstream, prefill, isPreferred, nowMillis));
        }
        if (query.maySplitPrefill() && !prefillEngines.isEmpty()) {
            Upstream target = selectDecodeEngine(query, targets, preferredTarget, nowMillis);
            for (Upstream prefillEngine : prefillEngines) {
                // Without a shared part no engine is preferred to another.
                boolean isPreferred =
                        preferredPrefillEngines.isEmpty() || preferredPrefillEngines.get(0) == prefillEngine;
                Prefill prefill = prefill(query.request(), prefillEngine, cachingEngines, preferredPrefillEngines);
                best = cheaper(best, splitCost(query, prefillEngine, target, prefill, isPreferred, nowMillis));
            }
        }
        return Optional.of(best.placement);
    }

    private record Scored(Placement placement, double costMillis) {}

    private static Scored cheaper(Scored one, Scored other) {
        return one == null || other.costMillis < one.costMillis ? other : one;
    }

    private static List<Upstream> enginesOfStage(List<Upstream> upstreams, EngineStage stage) {
        List<Upstream> selected = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            if (upstream.entry().stage() == stage) {
                selected.add(upstream);
            }
        }
        return selected;
    }

    /**
     * Returns the last part that a prompt shares with others, if it is long enough to be advertised; the last part of
     * the prompt is not shared.
     */
    private static Optional<PromptPart> sharedPart(ServingRequest request) {
        List<PromptPart> prompt = request.prompt();
        if (prompt.size() < 2) {
            return Optional.empty();
        }
        return Optional.of(prompt.get(prompt.size() - 2)).filter(PromptPartUse::isAdvertised);
    }

    private static List<Upstream> enginesCaching(List<Upstream> engines, PromptPart part) {
        List<Upstream> cachingEngines = new ArrayList<>();
        for (Upstream engine : engines) {
            if (engine.caches(part)) {
                cachingEngines.add(engine);
            }
        }
        return cachingEngines;
    }

    /**
     * Returns the preferred engine of a part, which is the same at all nodes, followed by the next one in the ranking.
     */
    private static List<Upstream> preferredEngines(PromptPart part, List<Upstream> engines) {
        return engines.stream()
                .sorted(Comparator.<Upstream>comparingLong(engine -> RendezvousHash.hash(
                                part.id() + "/" + engine.id().value()))
                        .reversed())
                .limit(PREFERENCE_LIST_LENGTH)
                .toList();
    }

    /**
     * The prefill of a prompt at an engine.
     *
     * @param uncachedTokens the prompt tokens that have to be prefilled
     * @param fetchFrom the engine from which the KV cache of further parts is fetched first; empty when nothing is
     *     fetched
     * @param isSharedPartUncached whether the prompt has a shared part that no engine is known to have cached
     */
    private record Prefill(long uncachedTokens, Optional<Upstream> fetchFrom, boolean isSharedPartUncached) {}

    /** Plans the prefill of a prompt at an engine: what it fetches and what it computes. */
    private Prefill prefill(
            ServingRequest request,
            Upstream prefillEngine,
            List<Upstream> cachingEngines,
            List<Upstream> preferredEngines) {
        int prompt = request.promptTokens();
        int cached = prefillEngine.cachedTokens(request.prompt());
        // Prefers a source that is not leaving, then one in the same failure domain, then the least loaded one.
        Optional<Upstream> source = cachingEngines.stream()
                .filter(engine -> engine != prefillEngine)
                .min(Comparator.comparing(Upstream::isLeaving)
                        .thenComparing(engine -> !engine.entry()
                                .domain()
                                .equals(prefillEngine.entry().domain()))
                        .thenComparingLong(Upstream::totalPendingPrefillTokens));
        if (source.isPresent()) {
            int cachedAtSource = source.get().cachedTokens(request.prompt());
            if (cachedAtSource - cached >= MINIMUM_FETCH_TOKENS) {
                return new Prefill(Math.max(1, prompt - cachedAtSource), source, false);
            }
        }
        long uncached = Math.max(1, prompt - cached);
        boolean isSharedPartUncached =
                cachingEngines.isEmpty() && sharedPart(request).isPresent();
        if (!isSharedPartUncached || uncached < MINIMUM_FETCH_TOKENS) {
            return new Prefill(uncached, Optional.empty(), isSharedPartUncached);
        }
        // Another node may have had the part prefilled at its preferred engine without having advertised it yet; a
        // fetch that finds nothing is cheap.
        return new Prefill(
                uncached,
                preferredEngines.stream()
                        .filter(engine -> engine != prefillEngine)
                        .findFirst(),
                true);
    }

    private Scored directCost(
            PlacementQuery query, Upstream upstream, Prefill prefill, boolean isPreferred, long nowMillis) {
        ServingRequest request = query.request();
        double responseMillis = upstream.averageRelativeLatency()
                * latency.firstPartMillis(
                        request.service(),
                        upstream.prefillStage(),
                        upstream.totalPendingPrefillTokens() + prefill.uncachedTokens());
        double costMillis = responseMillis
                + delayOfArrivals(request.service(), upstream.prefillStage(), prefill.uncachedTokens())
                + delayOfDecoding(upstream, prefill.uncachedTokens(), nowMillis)
                + batchingDelay(upstream, nowMillis)
                + (prefill.isSharedPartUncached() && !isPreferred ? UNCACHED_NON_PREFERRED_PENALTY_MILLIS : 0)
                + (prefill.fetchFrom().isPresent() && !prefill.isSharedPartUncached() ? KV_TRANSFER_PENALTY_MILLIS : 0)
                + penaltyMillis(query, upstream, nowMillis)
                + random.nextDouble() * TIE_BREAK_JITTER_MILLIS;
        Placement placement = new Placement(
                upstream,
                Optional.empty(),
                prefill.fetchFrom(),
                prefill.uncachedTokens(),
                Math.round(responseMillis),
                Math.round(responseMillis));
        return new Scored(placement, costMillis);
    }

    /**
     * Returns the expected total delay of the requests that arrive during a prefill. Arrivals are spread evenly, so
     * each waits for half of the prefill on average; a prefill of 100 ms delays others by 100 ms in total.
     */
    private double delayOfArrivals(ServiceId service, EngineStage stage, long tokens) {
        double prefillMillis =
                latency.firstPartMillis(service, stage, tokens) - latency.firstPartMillis(service, stage, 0);
        return prefillMillis * prefillMillis * ARRIVALS_PER_MILLISECOND / 2;
    }

    /** Selects the engine that decodes after a separate prefill. */
    private Upstream selectDecodeEngine(
            PlacementQuery query, List<Upstream> targets, Optional<Upstream> preferredTarget, long nowMillis) {
        return targets.stream()
                .min(Comparator.comparingDouble(upstream -> batchingDelay(upstream, nowMillis)
                        + upstream.totalPendingPrefillTokens() * PREFILL_MILLIS_PER_TOKEN
                        + (preferredTarget.isEmpty() || preferredTarget.get() == upstream
                                ? 0
                                : NON_PREFERRED_PENALTY_MILLIS)
                        + penaltyMillis(query, upstream, nowMillis)
                        + random.nextDouble() * TIE_BREAK_JITTER_MILLIS))
                .orElseThrow();
    }

    private Scored splitCost(
            PlacementQuery query,
            Upstream prefillEngine,
            Upstream target,
            Prefill prefill,
            boolean isPreferred,
            long nowMillis) {
        ServingRequest request = query.request();
        double prefillMillis = prefillEngine.averageRelativeLatency()
                * latency.firstPartMillis(
                        request.service(),
                        EngineStage.PREFILL,
                        prefillEngine.totalPendingPrefillTokens() + prefill.uncachedTokens());
        double responseMillis = prefillMillis + latency.firstPartMillis(request.service(), EngineStage.ANY, 0);
        double costMillis = responseMillis
                + KV_TRANSFER_PENALTY_MILLIS
                + (isPreferred
                        ? 0
                        : prefill.isSharedPartUncached()
                                ? UNCACHED_NON_PREFERRED_PENALTY_MILLIS
                                : NON_PREFERRED_PENALTY_MILLIS)
                + delayOfArrivals(request.service(), EngineStage.PREFILL, prefill.uncachedTokens())
                + (prefill.fetchFrom().isPresent() && !prefill.isSharedPartUncached() ? KV_TRANSFER_PENALTY_MILLIS : 0)
                + penaltyMillis(query, prefillEngine, nowMillis)
                + penaltyMillis(query, target, nowMillis)
                + random.nextDouble() * TIE_BREAK_JITTER_MILLIS;
        Placement placement = new Placement(
                target,
                Optional.of(prefillEngine),
                prefill.fetchFrom(),
                prefill.uncachedTokens(),
                Math.round(responseMillis),
                Math.round(prefillMillis));
        return new Scored(placement, costMillis);
    }

    /** Returns the delay by batching: each output token of a batch takes longer the more requests run in it. */
    private static double batchingDelay(Upstream upstream, long nowMillis) {
        return BATCHING_MILLIS_PER_REQUEST * upstream.totalRequests(nowMillis);
    }

    /** Returns the total delay that a prefill causes for the requests that decode on the same engine. */
    private double delayOfDecoding(Upstream upstream, long tokens, long nowMillis) {
        ServiceId service = upstream.entry().service();
        double prefillMillis = latency.firstPartMillis(service, upstream.prefillStage(), tokens)
                - latency.firstPartMillis(service, upstream.prefillStage(), 0);
        return prefillMillis * upstream.totalRequests(nowMillis) * DELAYED_REQUEST_FRACTION;
    }

    /** Returns the penalty for recent failures and for another failure domain, in milliseconds. */
    private static double penaltyMillis(PlacementQuery query, Upstream upstream, long nowMillis) {
        double penaltyMillis = FAILURE_PENALTY_MILLIS * upstream.failureRate(nowMillis);
        if (!upstream.entry().domain().equals(query.localDomain())) {
            penaltyMillis += OTHER_DOMAIN_PENALTY_MILLIS
                    + OTHER_DOMAIN_PENALTY_MILLIS_PER_KIB * query.request().bodyBytes() / 1024.0;
        }
        return penaltyMillis;
    }
}
