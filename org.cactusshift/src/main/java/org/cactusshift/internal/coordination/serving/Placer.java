package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;
import org.cactusshift.internal.coordination.routing.UpstreamHealth;

/**
 * Chooses the upstream of a request by the expected time to the first part of the response and the delay that the
 * choice causes for other requests.
 *
 * <p>Each prompt part that requests share has a preferred engine among the engines of a stage, determined by rendezvous
 * hashing, so that nodes agree on it without communication. A busy preferred engine is skipped when another engine
 * responds sooner by more than the transfer of the parts costs.
 */
public final class Placer {
    /** The estimated time to prefill one token; an engine prefills about 40 tokens per ms. */
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.03;

    /**
     * The cost, as time, of an upstream in another failure domain: the bytes of request and response cross the link.
     */
    private static final double OTHER_DOMAIN_MILLIS_PER_KILOBYTE = 0.2;

    private static final double OTHER_DOMAIN_MILLIS = 5;

    /** The cost, as time, of a KV-cache transfer between two engines. */
    private static final double KV_TRANSFER_MILLIS = 15;

    /**
     * The cost, as time, of prefilling a shared part on another than its preferred engine while no engine has it
     * cached: other nodes send the part to the preferred engine at the same time, and it is prefilled twice.
     */
    private static final double COLD_NON_PREFERRED_MILLIS = 800;

    /**
     * The requests that arrive at a busy engine per millisecond; at this rate a prefill of 100 ms delays others by 100
     * ms in total.
     */
    private static final double ARRIVALS_PER_MILLISECOND = 0.02;

    /**
     * The estimated delay that each request of an engine adds to a further one in the same batch: some tenths of a ms
     * for each output token.
     */
    private static final double BATCHING_MILLIS = 6;

    /** The fraction of the requests at an engine that wait for a token at any moment. */
    private static final double WAITING_FRACTION = 0.5;

    /**
     * The number of engines that may have cached a part although no node advertised it: the preferred engine, and the
     * next one after the set of engines changed.
     */
    private static final int PREFERRED_ENGINES = 2;

    /** Cached parts are fetched only if this saves at least this many tokens of prefill. */
    private static final int MINIMUM_FETCH_TOKENS = 1_024;

    /**
     * The cost, as time, of decoding on another than the preferred engine of the shared part: a further copy of its KV
     * cache.
     */
    private static final double NON_PREFERRED_MILLIS = 60;

    /** The cost, as time, of a failed attempt: a retry, which takes the time of several responses. */
    private static final double FAILURE_MILLIS = 400;

    /** An upstream that has sent nothing for this long, and for several times the expected latency, may have failed. */
    private static final long UNRESPONSIVE_MILLIS = 700;

    private static final double UNRESPONSIVE_LATENCY_FACTOR = 3;

    /** The upper bound of the random time that is added to each score to break ties. */
    private static final double TIE_BREAK_JITTER_MILLIS = 2;

    private final UpstreamDirectory directory;
    private final Function<ServiceId, Optional<ServedService>> services;
    private final LatencyEstimator latency;
    private final RandomGenerator random;

    private Placer(
            UpstreamDirectory directory,
            Function<ServiceId, Optional<ServedService>> services,
            LatencyEstimator latency,
            RandomGenerator random) {
        this.directory = directory;
        this.services = services;
        this.latency = latency;
        this.random = random;
    }

    /**
     * Creates a placer.
     *
     * @param directory the upstreams
     * @param services looks up a service of the active configuration
     * @param latency the latency estimates of the upstreams
     * @param random source of the random tie-breaking
     * @return the placer
     */
    public static Placer create(
            UpstreamDirectory directory,
            Function<ServiceId, Optional<ServedService>> services,
            LatencyEstimator latency,
            RandomGenerator random) {
        return new Placer(directory, services, latency, random);
    }

    /**
     * Chooses the upstreams of a request.
     *
     * @param query the request
     * @param nowMillis the current time
     * @return the placement, empty when no upstream can take the request
     */
    public Optional<Placement> place(PlacementQuery query, long nowMillis) {
        List<Upstream> usable = usable(query, nowMillis);
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        if (services.apply(query.request().service())
                .flatMap(ServedService::engine)
                .isEmpty()) {
            return choosePlain(query, usable, nowMillis);
        }
        return chooseEngine(query, usable, nowMillis);
    }

    private List<Upstream> usable(PlacementQuery query, long nowMillis) {
        List<Upstream> open = directory.acceptingWork(query.request().service());
        open.removeIf(upstream -> query.excluded().contains(upstream.id()));
        List<Upstream> healthy = new ArrayList<>();
        for (Upstream upstream : open) {
            UpstreamHealth.State state = upstream.health(nowMillis);
            boolean isProbe = state == UpstreamHealth.State.PROBE_DUE
                    && query.request().route().isRetryable();
            boolean isAccepting = !upstream.isRefusing(nowMillis) && !isUnresponsive(upstream, nowMillis);
            if ((state == UpstreamHealth.State.UP || isProbe) && isAccepting) {
                healthy.add(upstream);
            }
        }
        return healthy.isEmpty() ? open : healthy;
    }

    private boolean isUnresponsive(Upstream upstream, long nowMillis) {
        long withoutProgressMillis = upstream.millisSinceProgress(nowMillis);
        if (withoutProgressMillis < UNRESPONSIVE_MILLIS) {
            return false;
        }
        double expected = latency.firstResponseMillis(
                upstream.entry().service(), upstream.prefillStage(), upstream.pendingPrefillTokens());
        return withoutProgressMillis > UNRESPONSIVE_LATENCY_FACTOR * expected;
    }

    private Optional<Placement> choosePlain(PlacementQuery query, List<Upstream> usable, long nowMillis) {
        double baseMillis = latency.firstResponseMillis(query.request().service(), EngineStage.ANY, 0);
        Upstream best = null;
        double bestScore = Double.MAX_VALUE;
        double bestMillis = 0;
        for (Upstream upstream : usable) {
            int slots = Math.max(1, upstream.entry().slots());
            double queueFactor = Math.max(0, upstream.allRequests(nowMillis) + 1 - slots) / (double) slots;
            double utilization = upstream.allRequests(nowMillis) / (double) slots;
            double responseMillis = baseMillis * upstream.slowness() * (1 + queueFactor);
            double score = responseMillis
                    + baseMillis * utilization / 2
                    + penalty(query, upstream)
                    + random.nextDouble() * TIE_BREAK_JITTER_MILLIS;
            if (score < bestScore) {
                best = upstream;
                bestScore = score;
                bestMillis = responseMillis;
            }
        }
        return Optional.of(new Placement(
                best, Optional.empty(), Optional.empty(), 0, Math.round(bestMillis), Math.round(bestMillis)));
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
                        part -> cachingEngines(directory.listed(query.request().service()), part))
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
            best = better(best, scoreDirect(query, upstream, prefill, isPreferred, nowMillis));
        }
        if (query.maySplitPrefill() && !prefillEngines.isEmpty()) {
            Upstream target = splitTarget(query, targets, preferredTarget, nowMillis);
            for (Upstream prefillEngine : prefillEngines) {
                boolean isPreferred =
                        preferredPrefillEngines.isEmpty() || preferredPrefillEngines.get(0) == prefillEngine;
                Prefill prefill = prefill(query.request(), prefillEngine, cachingEngines, preferredPrefillEngines);
                best = better(best, scoreSplit(query, prefillEngine, target, prefill, isPreferred));
            }
        }
        return Optional.of(best.placement);
    }

    private record Scored(Placement placement, double score) {}

    private static Scored better(Scored one, Scored other) {
        return one == null || other.score < one.score ? other : one;
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

    /** Returns the last part that a prompt shares with others, if it is long enough to be advertised. */
    private static Optional<PromptPart> sharedPart(ServingRequest request) {
        List<PromptPart> prompt = request.prompt();
        if (prompt.size() < 2) {
            return Optional.empty();
        }
        return Optional.of(prompt.get(prompt.size() - 2)).filter(PromptPartUse::isAdvertised);
    }

    private static List<Upstream> cachingEngines(List<Upstream> engines, PromptPart part) {
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
                .limit(PREFERRED_ENGINES)
                .toList();
    }

    /** The prefill of a prompt at an engine; it is cold when no engine is known to have cached the shared part. */
    private record Prefill(long uncachedTokens, Optional<Upstream> fetchFrom, boolean isCold) {}

    private Prefill prefill(
            ServingRequest request,
            Upstream prefillEngine,
            List<Upstream> cachingEngines,
            List<Upstream> preferredEngines) {
        int prompt = request.promptTokens();
        int cached = prefillEngine.cachedTokens(request.prompt());
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
        boolean isCold = cachingEngines.isEmpty() && sharedPart(request).isPresent();
        if (!isCold || uncached < MINIMUM_FETCH_TOKENS) {
            return new Prefill(uncached, Optional.empty(), isCold);
        }
        // Another node may have had the part prefilled at its preferred engine without having advertised it yet; a
        // fetch that finds nothing costs nothing.
        return new Prefill(
                uncached,
                preferredEngines.stream()
                        .filter(engine -> engine != prefillEngine)
                        .findFirst(),
                true);
    }

    private Scored scoreDirect(
            PlacementQuery query, Upstream upstream, Prefill prefill, boolean isPreferred, long nowMillis) {
        ServingRequest request = query.request();
        double responseMillis = upstream.slowness()
                * latency.firstResponseMillis(
                        request.service(),
                        upstream.prefillStage(),
                        upstream.totalPendingPrefillTokens() + prefill.uncachedTokens());
        double score = responseMillis
                + delayOfArrivals(request.service(), upstream.prefillStage(), prefill.uncachedTokens())
                + delayOfDecoding(upstream, prefill.uncachedTokens(), nowMillis)
                + batchingDelay(upstream, nowMillis)
                + (prefill.isCold() && !isPreferred ? COLD_NON_PREFERRED_MILLIS : 0)
                + (prefill.fetchFrom().isPresent() && !prefill.isCold() ? KV_TRANSFER_MILLIS : 0)
                + penalty(query, upstream)
                + random.nextDouble() * TIE_BREAK_JITTER_MILLIS;
        Placement placement = new Placement(
                upstream,
                Optional.empty(),
                prefill.fetchFrom(),
                prefill.uncachedTokens(),
                Math.round(responseMillis),
                Math.round(responseMillis));
        return new Scored(placement, score);
    }

    /**
     * Returns the expected total delay of the requests that arrive during a prefill. Arrivals are spread evenly, so
     * each waits for half of the prefill on average.
     */
    private double delayOfArrivals(ServiceId service, EngineStage stage, long tokens) {
        double prefillMillis =
                latency.firstResponseMillis(service, stage, tokens) - latency.firstResponseMillis(service, stage, 0);
        return prefillMillis * prefillMillis * ARRIVALS_PER_MILLISECOND / 2;
    }

    private Upstream splitTarget(
            PlacementQuery query, List<Upstream> targets, Optional<Upstream> preferredTarget, long nowMillis) {
        return targets.stream()
                .min(Comparator.comparingDouble(upstream -> batchingDelay(upstream, nowMillis)
                        + upstream.totalPendingPrefillTokens() * PREFILL_MILLIS_PER_TOKEN
                        + (preferredTarget.isEmpty() || preferredTarget.get() == upstream ? 0 : NON_PREFERRED_MILLIS)
                        + penalty(query, upstream)
                        + random.nextDouble() * TIE_BREAK_JITTER_MILLIS))
                .orElseThrow();
    }

    private Scored scoreSplit(
            PlacementQuery query, Upstream prefillEngine, Upstream target, Prefill prefill, boolean isPreferred) {
        ServingRequest request = query.request();
        double prefillMillis = prefillEngine.slowness()
                * latency.firstResponseMillis(
                        request.service(),
                        EngineStage.PREFILL,
                        prefillEngine.totalPendingPrefillTokens() + prefill.uncachedTokens());
        double responseMillis = prefillMillis + latency.firstResponseMillis(request.service(), EngineStage.ANY, 0);
        double score = responseMillis
                + KV_TRANSFER_MILLIS
                + (isPreferred ? 0 : prefill.isCold() ? COLD_NON_PREFERRED_MILLIS : NON_PREFERRED_MILLIS)
                + delayOfArrivals(request.service(), EngineStage.PREFILL, prefill.uncachedTokens())
                + (prefill.fetchFrom().isPresent() && !prefill.isCold() ? KV_TRANSFER_MILLIS : 0)
                + penalty(query, prefillEngine)
                + penalty(query, target)
                + random.nextDouble() * TIE_BREAK_JITTER_MILLIS;
        Placement placement = new Placement(
                target,
                Optional.of(prefillEngine),
                prefill.fetchFrom(),
                prefill.uncachedTokens(),
                Math.round(responseMillis),
                Math.round(prefillMillis));
        return new Scored(placement, score);
    }

    /** Returns the delay by batching: each output token of a batch takes longer the more requests run in it. */
    private static double batchingDelay(Upstream upstream, long nowMillis) {
        return BATCHING_MILLIS * upstream.allRequests(nowMillis);
    }

    /** Returns the total delay that a prefill causes for the requests that decode on the same engine. */
    private double delayOfDecoding(Upstream upstream, long tokens, long nowMillis) {
        ServiceId service = upstream.entry().service();
        double prefillMillis = latency.firstResponseMillis(service, upstream.prefillStage(), tokens)
                - latency.firstResponseMillis(service, upstream.prefillStage(), 0);
        return prefillMillis * upstream.allRequests(nowMillis) * WAITING_FRACTION;
    }

    private static double penalty(PlacementQuery query, Upstream upstream) {
        double penalty = FAILURE_MILLIS * upstream.failureShare();
        if (!upstream.entry().domain().equals(query.domain())) {
            penalty += OTHER_DOMAIN_MILLIS
                    + OTHER_DOMAIN_MILLIS_PER_KILOBYTE * query.request().bodyBytes() / 1024.0;
        }
        return penalty;
    }
}
