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
 * Chooses the upstream of a request by the expected time to its first answer and what the choice costs others.
 *
 * <p>Prompt parts that requests share have a home among the engines of a stage, by rendezvous hashing, so that nodes
 * agree on it without talking. A home that is busy is passed over when another engine answers sooner by more than the
 * parts cost to fetch.
 */
public final class Placer {
    /** What a token that is read though another engine keeps it costs, as time; an engine reads about 40 a ms. */
    private static final double REREAD_MILLIS_PER_TOKEN = 0.03;

    /** What a request in another failure domain costs, as time: its bytes cross the link both ways. */
    private static final double OTHER_DOMAIN_MILLIS_PER_KILOBYTE = 0.2;

    private static final double OTHER_DOMAIN_MILLIS = 5;

    /** What moving a prompt between two engines costs, as time. */
    private static final double HAND_OVER_MILLIS = 15;

    /**
     * What reading a shared part away from its home costs, as time, while no engine keeps it: other nodes send it to
     * its home at the same moment, and it is read twice.
     */
    private static final double COLD_DETOUR_MILLIS = 800;

    /** Requests that come to a busy engine in a millisecond; a reading of 100 ms delays one other by its length. */
    private static final double OTHERS_PER_MILLI = 0.02;

    /** What one more request costs the requests that run beside it, for each of them: some tenths of a ms a token. */
    private static final double CROWDING_MILLIS = 6;

    /** The part of the requests at an engine that wait for a token at any moment. */
    private static final double DELAYED_PART = 0.5;

    /** The engines that may keep a part when no node has told of it: its home, or the next one after a change. */
    private static final int HOMES = 2;

    /** Shared parts below this length are read again rather than fetched. */
    private static final int FETCH_TOKENS = 1_024;

    /** What an answer at another engine than the home of its shared part costs, as time: a further copy. */
    private static final double OTHER_HOME_MILLIS = 60;

    /** Failures count as if the request had to be made again at the price of some answers' time. */
    private static final double FAILURE_MILLIS = 400;

    /** An upstream that has told nothing for this long, and for several expected answers, may be dead. */
    private static final long SILENCE_MILLIS = 700;

    private static final double SILENCE_ANSWERS = 3;
    private static final double TIE_MILLIS = 2;

    private final UpstreamDirectory directory;
    private final Function<ServiceId, Optional<ServedService>> services;
    private final LatencyEstimator speed;
    private final RandomGenerator random;

    private Placer(
            UpstreamDirectory directory,
            Function<ServiceId, Optional<ServedService>> services,
            LatencyEstimator speed,
            RandomGenerator random) {
        this.directory = directory;
        this.services = services;
        this.speed = speed;
        this.random = random;
    }

    /**
     * Returns a placer.
     *
     * @param directory the upstreams
     * @param services finds a service of the configuration in force
     * @param speed what was learnt of the upstreams
     * @param random breaks ties
     * @return the placer
     */
    public static Placer create(
            UpstreamDirectory directory,
            Function<ServiceId, Optional<ServedService>> services,
            LatencyEstimator speed,
            RandomGenerator random) {
        return new Placer(directory, services, speed, random);
    }

    /**
     * Chooses where a request goes.
     *
     * @param query the request
     * @param nowMillis the present time
     * @return the choice, empty when no upstream may take it
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
            boolean probe = state == UpstreamHealth.State.PROBE_DUE
                    && query.request().route().isRetryable();
            boolean takes = !upstream.isRefusing(nowMillis) && !isSilent(upstream, nowMillis);
            if ((state == UpstreamHealth.State.UP || probe) && takes) {
                healthy.add(upstream);
            }
        }
        return healthy.isEmpty() ? open : healthy;
    }

    private boolean isSilent(Upstream upstream, long nowMillis) {
        long silentMillis = upstream.millisSinceProgress(nowMillis);
        if (silentMillis < SILENCE_MILLIS) {
            return false;
        }
        double expected = speed.firstAnswerMillis(
                upstream.entry().service(), upstream.prefillStage(), upstream.pendingPrefillTokens());
        return silentMillis > SILENCE_ANSWERS * expected;
    }

    private Optional<Placement> choosePlain(PlacementQuery query, List<Upstream> usable, long nowMillis) {
        double fixed = speed.firstAnswerMillis(query.request().service(), EngineStage.ANY, 0);
        Upstream best = null;
        double bestScore = Double.MAX_VALUE;
        double bestTime = 0;
        for (Upstream upstream : usable) {
            int slots = Math.max(1, upstream.entry().slots());
            double ahead = Math.max(0, upstream.allRequests(nowMillis) + 1 - slots) / (double) slots;
            double busy = upstream.allRequests(nowMillis) / (double) slots;
            double time = fixed * upstream.slowness() * (1 + ahead);
            double score = time + fixed * busy / 2 + penalty(query, upstream) + random.nextDouble() * TIE_MILLIS;
            if (score < bestScore) {
                best = upstream;
                bestScore = score;
                bestTime = time;
            }
        }
        return Optional.of(
                new Placement(best, Optional.empty(), Optional.empty(), 0, Math.round(bestTime), Math.round(bestTime)));
    }

    private Optional<Placement> chooseEngine(PlacementQuery query, List<Upstream> usable, long nowMillis) {
        List<Upstream> readers = stage(usable, EngineStage.PREFILL);
        List<Upstream> answering = new ArrayList<>(usable);
        answering.removeAll(readers);
        if (answering.isEmpty()) {
            return Optional.empty();
        }
        Optional<PromptPart> shared = sharedPart(query.request());
        // An engine that leaves still hands its memory to others.
        List<Upstream> holders = shared.map(
                        part -> holders(directory.listed(query.request().service()), part))
                .orElse(List.of());
        Optional<Upstream> home = shared.map(part -> homes(part, answering).get(0));
        List<Upstream> readingHomes = shared.map(part -> homes(part, readers.isEmpty() ? answering : readers))
                .orElse(List.of());
        Scored best = null;
        for (Upstream upstream : answering) {
            boolean isHome = readers.isEmpty() && home.filter(upstream::equals).isPresent();
            Reading reading = reading(query.request(), upstream, holders, readingHomes);
            best = better(best, direct(query, upstream, reading, isHome, nowMillis));
        }
        if (query.maySplitPrefill() && !readers.isEmpty()) {
            Upstream target = handOverTarget(query, answering, home, nowMillis);
            for (Upstream reader : readers) {
                boolean isHome = readingHomes.isEmpty() || readingHomes.get(0) == reader;
                Reading reading = reading(query.request(), reader, holders, readingHomes);
                best = better(best, handOver(query, reader, target, reading, isHome));
            }
        }
        return Optional.of(best.placement);
    }

    private record Scored(Placement placement, double score) {}

    private static Scored better(Scored one, Scored other) {
        return one == null || other.score < one.score ? other : one;
    }

    private static List<Upstream> stage(List<Upstream> upstreams, EngineStage stage) {
        List<Upstream> selected = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            if (upstream.entry().stage() == stage) {
                selected.add(upstream);
            }
        }
        return selected;
    }

    /** Returns the last part that a prompt shares with others, if it is long enough to matter. */
    private static Optional<PromptPart> sharedPart(ServingRequest request) {
        List<PromptPart> prompt = request.prompt();
        if (prompt.size() < 2) {
            return Optional.empty();
        }
        return Optional.of(prompt.get(prompt.size() - 2)).filter(PromptPartUse::isAdvertised);
    }

    private static List<Upstream> holders(List<Upstream> engines, PromptPart part) {
        List<Upstream> holders = new ArrayList<>();
        for (Upstream engine : engines) {
            if (engine.caches(part)) {
                holders.add(engine);
            }
        }
        return holders;
    }

    /** Returns the engine on which all nodes agree to keep a part, and the one that comes next. */
    private static List<Upstream> homes(PromptPart part, List<Upstream> engines) {
        return engines.stream()
                .sorted(Comparator.<Upstream>comparingLong(engine -> RendezvousHash.hash(
                                part.id() + "/" + engine.id().value()))
                        .reversed())
                .limit(HOMES)
                .toList();
    }

    /** What reading a prompt at an engine takes; a cold one reads shared parts that no engine is known to keep. */
    private record Reading(long freshTokens, Optional<Upstream> fetchFrom, boolean cold) {}

    private Reading reading(ServingRequest request, Upstream reader, List<Upstream> holders, List<Upstream> homes) {
        int prompt = request.promptTokens();
        int kept = reader.cachedTokens(request.prompt());
        Optional<Upstream> holder = holders.stream()
                .filter(engine -> engine != reader)
                .min(Comparator.comparing(Upstream::isLeaving)
                        .thenComparing(engine ->
                                !engine.entry().domain().equals(reader.entry().domain()))
                        .thenComparingLong(Upstream::totalPendingPrefillTokens));
        if (holder.isPresent()) {
            int keptThere = holder.get().cachedTokens(request.prompt());
            if (keptThere - kept >= FETCH_TOKENS) {
                return new Reading(Math.max(1, prompt - keptThere), holder, false);
            }
        }
        long fresh = Math.max(1, prompt - kept);
        boolean cold = holders.isEmpty() && sharedPart(request).isPresent();
        if (!cold || fresh < FETCH_TOKENS) {
            return new Reading(fresh, Optional.empty(), cold);
        }
        // Another node may have had the part read at its home and not told so yet; a fetch of nothing costs nothing.
        return new Reading(
                fresh, homes.stream().filter(engine -> engine != reader).findFirst(), true);
    }

    private Scored direct(PlacementQuery query, Upstream upstream, Reading reading, boolean isHome, long nowMillis) {
        ServingRequest request = query.request();
        double time = upstream.slowness()
                * speed.firstAnswerMillis(
                        request.service(),
                        upstream.prefillStage(),
                        upstream.totalPendingPrefillTokens() + reading.freshTokens());
        double score = time
                + delayOfOthers(request.service(), upstream.prefillStage(), reading.freshTokens())
                + delayOfOutput(upstream, reading.freshTokens(), nowMillis)
                + crowding(upstream, nowMillis)
                + (reading.cold() && !isHome ? COLD_DETOUR_MILLIS : 0)
                + (reading.fetchFrom().isPresent() && !reading.cold() ? HAND_OVER_MILLIS : 0)
                + penalty(query, upstream)
                + random.nextDouble() * TIE_MILLIS;
        Placement placement = new Placement(
                upstream,
                Optional.empty(),
                reading.fetchFrom(),
                reading.freshTokens(),
                Math.round(time),
                Math.round(time));
        return new Scored(placement, score);
    }

    /**
     * Returns by how much a reading delays those behind it, on average one that comes at any moment: half of them wait
     * for half of it.
     */
    private double delayOfOthers(ServiceId service, EngineStage stage, long tokens) {
        double readMillis =
                speed.firstAnswerMillis(service, stage, tokens) - speed.firstAnswerMillis(service, stage, 0);
        return readMillis * readMillis * OTHERS_PER_MILLI / 2;
    }

    private Upstream handOverTarget(
            PlacementQuery query, List<Upstream> answering, Optional<Upstream> home, long nowMillis) {
        return answering.stream()
                .min(Comparator.comparingDouble(upstream -> crowding(upstream, nowMillis)
                        + upstream.totalPendingPrefillTokens() * REREAD_MILLIS_PER_TOKEN
                        + (home.isEmpty() || home.get() == upstream ? 0 : OTHER_HOME_MILLIS)
                        + penalty(query, upstream)
                        + random.nextDouble() * TIE_MILLIS))
                .orElseThrow();
    }

    private Scored handOver(PlacementQuery query, Upstream reader, Upstream target, Reading reading, boolean isHome) {
        ServingRequest request = query.request();
        double readMillis = reader.slowness()
                * speed.firstAnswerMillis(
                        request.service(),
                        EngineStage.PREFILL,
                        reader.totalPendingPrefillTokens() + reading.freshTokens());
        double time = readMillis + speed.firstAnswerMillis(request.service(), EngineStage.ANY, 0);
        double score = time
                + HAND_OVER_MILLIS
                + (isHome ? 0 : reading.cold() ? COLD_DETOUR_MILLIS : OTHER_HOME_MILLIS)
                + delayOfOthers(request.service(), EngineStage.PREFILL, reading.freshTokens())
                + (reading.fetchFrom().isPresent() && !reading.cold() ? HAND_OVER_MILLIS : 0)
                + penalty(query, reader)
                + penalty(query, target)
                + random.nextDouble() * TIE_MILLIS;
        Placement placement = new Placement(
                target,
                Optional.of(reader),
                reading.fetchFrom(),
                reading.freshTokens(),
                Math.round(time),
                Math.round(readMillis));
        return new Scored(placement, score);
    }

    /** Each output token of a batch takes longer the more requests run in it. */
    private static double crowding(Upstream upstream, long nowMillis) {
        return CROWDING_MILLIS * upstream.allRequests(nowMillis);
    }

    /** Returns by how much a reading at an engine delays the outputs that it produces. */
    private double delayOfOutput(Upstream upstream, long tokens, long nowMillis) {
        ServiceId service = upstream.entry().service();
        double readMillis = speed.firstAnswerMillis(service, upstream.prefillStage(), tokens)
                - speed.firstAnswerMillis(service, upstream.prefillStage(), 0);
        return readMillis * upstream.allRequests(nowMillis) * DELAYED_PART;
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
