package org.cactusshift.internal.coordination.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;

/**
 * Chooses the upstream by expected completion time, at random among upstreams with nearly equal cost.
 *
 * <p>The cost of an upstream is the sum of its expected time to first token (backlog and uncached prompt tokens over
 * the measured prefill rate), the expected output over the decode rate of one sequence, and penalties, among them one
 * for a nearly full KV cache. While the fleet is partitioned by prompt length, a short prompt pays a penalty for an
 * upstream of the long-prompt partition, and a long prompt leaves that partition only for an idle upstream or when no
 * upstream of it may be used. Among upstreams within a margin of the best, one is drawn with a weight that decreases
 * with its cost, so that nodes with the same stale report do not all choose the same one. A large fleet is sampled
 * instead of scanned.
 */
public final class CostRouting implements RoutingPolicy {
    /** A fleet with more upstreams is sampled instead of scanned. */
    private static final int MAXIMUM_SCANNED_UPSTREAMS = 16;

    /** The number of random draws, with repetition, from a larger fleet. */
    private static final int SAMPLED_UPSTREAMS = 8;

    /** The maximum number of upstreams that are sampled because they probably have a prefix of the prompt cached. */
    private static final int MAXIMUM_CACHE_HOLDERS = 4;

    /**
     * One upstream is drawn among those whose cost exceeds the lowest one by at most this time plus
     * {@link #TIE_MARGIN_RATIO} of the lowest one.
     */
    private static final double TIE_MARGIN_MILLIS = 50;

    private static final double TIE_MARGIN_RATIO = 0.15;

    /** The maximum backlog at which an upstream that is not idle has room for a request. */
    private static final double MAXIMUM_BACKLOG_MILLIS = 1_000;

    /** The assumed rate of KV-cache transfers between engines. */
    private static final double KV_TRANSFER_TOKENS_PER_SECOND = 100_000;

    /** A prefill of up to this duration is admitted without a check of the deadlines of open attempts. */
    private static final double UNCHECKED_PREFILL_MILLIS = 100;

    /** The penalty that a short prompt pays for an upstream of the long-prompt partition. */
    private static final double LONG_PROMPT_PARTITION_PENALTY_MILLIS = 1_500;

    /** The penalty for the largest possible distance between an upstream and this node. */
    private static final double DISTANCE_PENALTY_MILLIS = 1_000;

    /** The assumed backlog of each request at an upstream without a known prefill rate. */
    private static final double ASSUMED_REQUEST_MILLIS = 20;

    /** An upstream without a known prefill rate has no room from this number of open attempts of this node on. */
    private static final int MAXIMUM_UNMETERED_ATTEMPTS = 64;

    /** The penalty for a nearly full KV cache begins below this number of free blocks and is complete at none. */
    private static final double KV_PENALTY_THRESHOLD_BLOCKS = 8;

    private static final double KV_CACHE_PENALTY_MILLIS = 400;

    /** An upstream whose load report is older than this pays {@link #STALE_PENALTY_MILLIS}. */
    private static final long STALE_REPORT_MILLIS = 10_000;

    private static final double STALE_PENALTY_MILLIS = 1_000;

    private CostRouting() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static CostRouting create() {
        return new CostRouting();
    }

    @Override
    public Optional<RoutingDecision> choose(FleetView fleet, RouteQuery query, long nowMillis, RandomGenerator random) {
        Map<UpstreamId, Integer> cached =
                fleet.prefixes().cachedBlocks(query.request().prefixHashes());
        List<UpstreamState> sample = sample(fleet, cached, random);
        List<Candidate> candidates = evaluateAll(sample, query, cached, nowMillis);
        if (candidates.stream().noneMatch(Candidate::hasRoom)
                && sample.size() < fleet.upstreams().size()) {
            // A second random sample, as no candidate of the first has room.
            sample = sample(fleet, cached, random);
            candidates = evaluateAll(sample, query, cached, nowMillis);
        }
        List<Candidate> withRoom =
                candidates.stream().filter(Candidate::hasRoom).toList();
        if (withRoom.isEmpty()) {
            return Optional.empty();
        }
        Candidate chosen = draw(withRoom, random);
        UpstreamState upstream = fleet.find(chosen.upstream()).orElseThrow();
        return Optional.of(new RoutingDecision(upstream, chosen.prefill().flatMap(fleet::find), chosen, candidates));
    }

    /** Returns the upstreams to evaluate: all of a small fleet, otherwise likely cache holders and random ones. */
    private static List<UpstreamState> sample(
            FleetView fleet, Map<UpstreamId, Integer> cached, RandomGenerator random) {
        List<UpstreamState> all = fleet.upstreams();
        if (all.size() <= MAXIMUM_SCANNED_UPSTREAMS) {
            return all;
        }
        Set<UpstreamState> sample = new LinkedHashSet<>();
        cached.entrySet().stream()
                .sorted(Map.Entry.<UpstreamId, Integer>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(MAXIMUM_CACHE_HOLDERS)
                .forEach(entry -> fleet.find(entry.getKey()).ifPresent(sample::add));
        for (int i = 0; i < SAMPLED_UPSTREAMS; i++) {
            sample.add(all.get(random.nextInt(all.size())));
        }
        return List.copyOf(sample);
    }

    private static List<Candidate> evaluateAll(
            List<UpstreamState> sample, RouteQuery query, Map<UpstreamId, Integer> cached, long nowMillis) {
        List<UpstreamState> allowed = sample.stream()
                .filter(upstream -> query.allows(upstream, nowMillis))
                .toList();
        boolean hasOnlyPrefillEngines = allowed.stream().allMatch(CostRouting::isPrefill);
        Optional<Prefill> prefill =
                hasOnlyPrefillEngines ? Optional.empty() : bestPrefill(allowed, query, cached, nowMillis);
        boolean hasUpstreamInPartition = allowed.stream().anyMatch(upstream -> query.isInPartition(upstream));
        List<Candidate> candidates = new ArrayList<>(allowed.size());
        for (UpstreamState upstream : allowed) {
            boolean isExcludedByPartition = hasUpstreamInPartition
                    && query.isLong()
                    && !query.isInPartition(upstream)
                    && upstream.requests() > 0;
            if ((hasOnlyPrefillEngines || !isPrefill(upstream)) && !isExcludedByPartition) {
                candidates.add(evaluate(upstream, query, cached.getOrDefault(upstream.id(), 0), prefill, nowMillis));
            }
        }
        return candidates;
    }

    private static boolean isPrefill(UpstreamState upstream) {
        return upstream.role() == UpstreamConfig.Role.PREFILL;
    }

    /**
     * A prefill at a separate engine.
     *
     * @param upstream the engine
     * @param cachedTokens the prompt tokens that it has cached
     * @param readyMillis the expected time until the KV cache has been transferred from it
     */
    private record Prefill(UpstreamState upstream, long cachedTokens, double readyMillis) {}

    private static Optional<Prefill> bestPrefill(
            List<UpstreamState> allowed, RouteQuery query, Map<UpstreamId, Integer> cached, long nowMillis) {
        double transferMillis = query.prefillTokens() * 1_000 / KV_TRANSFER_TOKENS_PER_SECOND;
        return allowed.stream()
                .filter(CostRouting::isPrefill)
                .filter(upstream -> upstream.prefillTokensPerSecond() > 0)
                .map(upstream -> {
                    long cachedTokens = cachedTokens(query, cached.getOrDefault(upstream.id(), 0));
                    double firstMillis = firstTokenMillis(upstream, query.prefillTokens() - cachedTokens, nowMillis);
                    return new Prefill(upstream, cachedTokens, firstMillis + transferMillis);
                })
                .min(Comparator.comparingDouble(Prefill::readyMillis));
    }

    private static long cachedTokens(RouteQuery query, int cachedBlocks) {
        return Math.min(query.prefillTokens(), (long) cachedBlocks * UpstreamState.BLOCK_TOKENS);
    }

    private static double backlogMillis(UpstreamState upstream, long nowMillis) {
        double rate = upstream.prefillTokensPerSecond();
        return rate > 0
                ? upstream.backlogTokens(nowMillis) * 1_000 / rate
                : upstream.requests() * ASSUMED_REQUEST_MILLIS;
    }

    private static double firstTokenMillis(UpstreamState upstream, long uncachedTokens, long nowMillis) {
        double rate = upstream.prefillTokensPerSecond();
        return backlogMillis(upstream, nowMillis) + (rate > 0 ? uncachedTokens * 1_000 / rate : 0);
    }

    private static Candidate evaluate(
            UpstreamState upstream, RouteQuery query, int cachedBlocks, Optional<Prefill> prefill, long nowMillis) {
        long ownCachedTokens = cachedTokens(query, cachedBlocks);
        double ownFirstTokenMillis = firstTokenMillis(upstream, query.prefillTokens() - ownCachedTokens, nowMillis);
        Optional<Prefill> used = prefill.filter(engine -> engine.readyMillis() < ownFirstTokenMillis);
        double firstTokenMillis = used.map(Prefill::readyMillis).orElse(ownFirstTokenMillis);
        double decodeRate = upstream.decodeTokensPerSecond();
        double decodeMillis = decodeRate > 0 ? query.expectedOutputTokens() * 1_000 / decodeRate : 0;
        int neededBlocks = Math.max(0, query.requiredBlocks() - cachedBlocks);
        int remainingBlocks =
                upstream.freeBlocks() == Integer.MAX_VALUE ? Integer.MAX_VALUE : upstream.freeBlocks() - neededBlocks;
        double penaltyMillis = kvCachePenaltyMillis(remainingBlocks)
                + stalePenaltyMillis(upstream, nowMillis)
                + distancePenaltyMillis(upstream, query.nodePosition())
                + (query.isLong() || query.isInPartition(upstream) ? 0 : LONG_PROMPT_PARTITION_PENALTY_MILLIS);
        double backlogMillis = used.map(engine -> backlogMillis(engine.upstream(), nowMillis))
                .orElse(backlogMillis(upstream, nowMillis));
        double prefillMillis = ownFirstTokenMillis - backlogMillis(upstream, nowMillis);
        boolean isIdle = upstream.requests() == 0;
        return new Candidate(
                upstream.id(),
                firstTokenMillis,
                firstTokenMillis + decodeMillis,
                firstTokenMillis + decodeMillis + penaltyMillis,
                used.map(Prefill::cachedTokens).orElse(ownCachedTokens),
                isIdle
                        || (remainingBlocks >= 0
                                && hasShortBacklog(upstream, backlogMillis)
                                && (used.isPresent()
                                        || prefillMillis <= UNCHECKED_PREFILL_MILLIS
                                        || keepsDeadlinesOfOpenAttempts(upstream, ownFirstTokenMillis, nowMillis))),
                used.map(engine -> engine.upstream().id()));
    }

    /**
     * Returns whether the open attempts of this node would still meet their deadlines if a further request delayed them
     * by its expected time to first token.
     */
    private static boolean keepsDeadlinesOfOpenAttempts(
            UpstreamState upstream, double firstTokenMillis, long nowMillis) {
        return firstTokenMillis <= upstream.leastSlackMillis(nowMillis);
    }

    /**
     * Returns whether the backlog, of the engine that does the prefill, is short; for an upstream without a known
     * prefill rate of its own, whether this node has few open attempts there.
     */
    private static boolean hasShortBacklog(UpstreamState upstream, double backlogMillis) {
        if (upstream.load().isEmpty() || upstream.prefillTokensPerSecond() <= 0) {
            return upstream.inFlight() < MAXIMUM_UNMETERED_ATTEMPTS;
        }
        return backlogMillis <= MAXIMUM_BACKLOG_MILLIS;
    }

    /**
     * Returns a penalty for the distance on a ring between the positions of the upstream and of this node, so that each
     * upstream gets most of its requests from few nodes, whose estimates of its load are then more accurate. A long
     * wait at near upstreams outweighs it.
     */
    private static double distancePenaltyMillis(UpstreamState upstream, double nodePosition) {
        double distance = Math.abs(upstream.position() - nodePosition);
        return DISTANCE_PENALTY_MILLIS * 2 * Math.min(distance, 1 - distance);
    }

    private static double kvCachePenaltyMillis(int remainingBlocks) {
        if (remainingBlocks >= KV_PENALTY_THRESHOLD_BLOCKS) {
            return 0;
        }
        return KV_CACHE_PENALTY_MILLIS * (1 - Math.max(0, remainingBlocks) / KV_PENALTY_THRESHOLD_BLOCKS);
    }

    private static double stalePenaltyMillis(UpstreamState upstream, long nowMillis) {
        boolean stale = upstream.load().isPresent()
                && nowMillis - upstream.load().get().measuredAtMillis() > STALE_REPORT_MILLIS;
        return stale ? STALE_PENALTY_MILLIS : 0;
    }

    private static Candidate draw(List<Candidate> withRoom, RandomGenerator random) {
        double best = withRoom.stream().mapToDouble(Candidate::costMillis).min().orElseThrow();
        double margin = TIE_MARGIN_MILLIS + TIE_MARGIN_RATIO * best;
        List<Candidate> nearBest = withRoom.stream()
                .filter(candidate -> candidate.costMillis() <= best + margin)
                .toList();
        double total =
                nearBest.stream().mapToDouble(c -> weight(c, best, margin)).sum();
        double point = random.nextDouble() * total;
        for (Candidate candidate : nearBest) {
            point -= weight(candidate, best, margin);
            if (point <= 0) {
                return candidate;
            }
        }
        return nearBest.get(nearBest.size() - 1);
    }

    private static double weight(Candidate candidate, double best, double margin) {
        // Above 1, so that the weight is above 0 at the margin.
        return 1.01 - (candidate.costMillis() - best) / margin;
    }
}
