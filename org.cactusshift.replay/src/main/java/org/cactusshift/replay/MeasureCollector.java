package org.cactusshift.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;

/** Computes the measures of a replay from its requests. */
final class MeasureCollector {
    static final long TIMELINE_STEP_MILLIS = 5_000;
    /** The longest time to first token that can be recorded. */
    private static final long MAXIMUM_TIME_TO_FIRST_TOKEN_MILLIS = 3_600_000;

    private final TraceHeader header;
    private final Map<String, ReplayedRequest> requests;
    private final SimulatedFleet fleet;
    /** The numbers of engines in the prefill role (index 0) and in the decode role (index 1). */
    private final Map<Long, int[]> engineCountsByStepEndMillis = new HashMap<>();

    MeasureCollector(TraceHeader header, Map<String, ReplayedRequest> requests, SimulatedFleet fleet) {
        this.header = header;
        this.requests = requests;
        this.fleet = fleet;
    }

    void recordRoles(long nowMillis) {
        int[] roles = new int[2];
        for (SimulatedUpstream upstream : fleet.all()) {
            if (upstream instanceof SimulatedEngine && !upstream.isDown()) {
                UpstreamConfig.Role role = ((SimulatedEngine) upstream).role();
                roles[0] += role == UpstreamConfig.Role.PREFILL ? 1 : 0;
                roles[1] += role == UpstreamConfig.Role.DECODE ? 1 : 0;
            }
        }
        engineCountsByStepEndMillis.put(nowMillis / TIMELINE_STEP_MILLIS * TIMELINE_STEP_MILLIS, roles);
    }

    PolicyResult result(String policy, int roleChanges) {
        List<ReplayedRequest> countedRequests = requests.values().stream()
                .filter(request -> !request.traceRequest.crashes())
                .toList();
        long goodput = count(countedRequests, ReplayedRequest::countsAsGoodput);
        double cost = fleet.finishBilling();
        Map<String, Double> measures = new LinkedHashMap<>();
        measures.put(PolicyResult.REQUESTS, (double) countedRequests.size());
        measures.put(PolicyResult.GOODPUT, (double) goodput);
        measures.put(PolicyResult.GOODPUT_SHARE, ratio(goodput, countedRequests.size()));
        measures.put(PolicyResult.WORST_ACCOUNT, worstAccountRatio(countedRequests));
        measures.put(PolicyResult.ROLE_CHANGES, (double) roleChanges);
        measures.put(PolicyResult.COST, cost);
        measures.put(PolicyResult.COST_PER_GOODPUT, goodput == 0 ? 0 : cost / goodput);
        measures.put(
                PolicyResult.RECLAIMABLE_SHARE,
                ratio(
                        count(countedRequests, request -> request.countsAsGoodput() && request.lastRanOnReclaimable),
                        goodput));
        measures.put(PolicyResult.LOST_NON_REPEATABLE, (double)
                count(countedRequests, request -> request.lostOnReclaimable));
        measures.put(PolicyResult.DUPLICATE_RUNS, (double)
                count(countedRequests, request -> !request.traceRequest.repeatable() && request.runs > 1));
        measures.put(PolicyResult.ENGINES_CRASHED_BY_ONE_REQUEST, (double) fleet.mostCrashesByOneFingerprint());
        measures.put(PolicyResult.FALSE_QUARANTINE_REFUSALS, (double)
                count(countedRequests, MeasureCollector::isRefusedByQuarantine));
        long retries = countedRequests.stream()
                .mapToLong(request -> Math.max(0, request.attempts - 1))
                .sum();
        measures.put(PolicyResult.RETRY_SHARE, ratio(retries, countedRequests.size()));
        measures.put(PolicyResult.FIRST_TOKEN_P95_MILLIS, firstTokenP95Millis(countedRequests));
        // Rounds to four decimal places.
        measures.replaceAll((name, value) -> Math.round(value * 10_000) / 10_000.0);
        return new PolicyResult(
                policy,
                measures,
                refusals(countedRequests),
                tally(countedRequests, TraceEvent.Request::kind),
                tally(countedRequests, TraceEvent.Request::account),
                timeline(countedRequests));
    }

    private static boolean isRefusedByQuarantine(ReplayedRequest request) {
        return request.refusal
                .filter(reason -> reason == DispatchDecision.Reason.QUARANTINED)
                .isPresent();
    }

    private static long count(List<ReplayedRequest> requests, Predicate<ReplayedRequest> condition) {
        return requests.stream().filter(condition).count();
    }

    private static double ratio(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    /** Computes {@link PolicyResult#WORST_ACCOUNT}; the mean is taken over the client accounts, not the requests. */
    private double worstAccountRatio(List<ReplayedRequest> countedRequests) {
        List<Double> shares = new ArrayList<>();
        for (TraceAccount account : header.accounts()) {
            List<ReplayedRequest> own = countedRequests.stream()
                    .filter(request -> request.traceRequest.account().equals(account.id()))
                    .toList();
            if (!account.flooding() && !own.isEmpty()) {
                shares.add(ratio(count(own, ReplayedRequest::countsAsGoodput), own.size()));
            }
        }
        double mean = shares.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double worst = shares.stream().mapToDouble(Double::doubleValue).min().orElse(0);
        return mean == 0 ? 0 : worst / mean;
    }

    private static double firstTokenP95Millis(List<ReplayedRequest> countedRequests) {
        Histogram histogram = new Histogram(MAXIMUM_TIME_TO_FIRST_TOKEN_MILLIS, 3);
        countedRequests.stream()
                .filter(request -> request.firstTokenAtMillis >= 0)
                .forEach(
                        request -> histogram.recordValue(request.firstTokenAtMillis - request.traceRequest.atMillis()));
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(95);
    }

    private static Map<String, Long> refusals(List<ReplayedRequest> countedRequests) {
        Map<String, Long> refusals = new TreeMap<>();
        for (ReplayedRequest request : countedRequests) {
            request.refusal.ifPresent(reason -> refusals.merge(reason.name(), 1L, Long::sum));
        }
        return refusals;
    }

    private static Map<String, PolicyResult.Tally> tally(
            List<ReplayedRequest> countedRequests, Function<TraceEvent.Request, String> group) {
        Map<String, PolicyResult.Tally> tallies = new TreeMap<>();
        countedRequests.stream()
                .map(request -> group.apply(request.traceRequest))
                .distinct()
                .forEach(name -> {
                    List<ReplayedRequest> own = countedRequests.stream()
                            .filter(request -> group.apply(request.traceRequest).equals(name))
                            .toList();
                    long goodput = count(own, ReplayedRequest::countsAsGoodput);
                    long refused = count(own, request -> request.refusal.isPresent());
                    tallies.put(
                            name, new PolicyResult.Tally(own.size(), goodput, refused, own.size() - goodput - refused));
                });
        return tallies;
    }

    private List<PolicyResult.TimelinePoint> timeline(List<ReplayedRequest> countedRequests) {
        List<PolicyResult.TimelinePoint> points = new ArrayList<>();
        for (long end = TIMELINE_STEP_MILLIS; end <= header.durationMillis(); end += TIMELINE_STEP_MILLIS) {
            long endMillis = end;
            List<ReplayedRequest> inStep = countedRequests.stream()
                    .filter(request -> request.traceRequest.atMillis() < endMillis
                            && request.traceRequest.atMillis() >= endMillis - TIMELINE_STEP_MILLIS)
                    .toList();
            int[] roles = engineCountsByStepEndMillis.getOrDefault(end, new int[2]);
            points.add(new PolicyResult.TimelinePoint(
                    end,
                    count(inStep, ReplayedRequest::countsAsGoodput),
                    inStep.size(),
                    worstAccountRatio(inStep),
                    roles[0],
                    roles[1]));
        }
        return points;
    }
}
