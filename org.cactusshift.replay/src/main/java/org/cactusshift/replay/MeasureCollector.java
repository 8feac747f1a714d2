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

/** Turns the calls of a run into its measures. */
final class MeasureCollector {
    static final long SPAN_MILLIS = 5_000;
    private static final long LONGEST_FIRST_TOKEN_MILLIS = 3_600_000;

    private final TraceHeader header;
    private final Map<String, ReplayedRequest> calls;
    private final SimulatedFleet fleet;
    private final Map<Long, int[]> rolesBySpan = new HashMap<>();

    MeasureCollector(TraceHeader header, Map<String, ReplayedRequest> calls, SimulatedFleet fleet) {
        this.header = header;
        this.calls = calls;
        this.fleet = fleet;
    }

    void recordRoles(long nowMillis) {
        int[] roles = new int[2];
        for (SimulatedUpstream upstream : fleet.all()) {
            if (upstream instanceof EngineSimulator && !upstream.isDown()) {
                UpstreamConfig.Role role = ((EngineSimulator) upstream).role();
                roles[0] += role == UpstreamConfig.Role.PREFILL ? 1 : 0;
                roles[1] += role == UpstreamConfig.Role.DECODE ? 1 : 0;
            }
        }
        rolesBySpan.put(nowMillis / SPAN_MILLIS * SPAN_MILLIS, roles);
    }

    PolicyResult result(String policy, int roleChanges) {
        List<ReplayedRequest> counted = calls.values().stream()
                .filter(call -> !call.traceRequest.crashes())
                .toList();
        long good = count(counted, ReplayedRequest::countsAsGoodput);
        double cost = fleet.finishBilling();
        Map<String, Double> measures = new LinkedHashMap<>();
        measures.put(PolicyResult.REQUESTS, (double) counted.size());
        measures.put(PolicyResult.GOODPUT, (double) good);
        measures.put(PolicyResult.GOODPUT_SHARE, ratio(good, counted.size()));
        measures.put(PolicyResult.WORST_ACCOUNT, worstAccount(counted));
        measures.put(PolicyResult.ROLE_CHANGES, (double) roleChanges);
        measures.put(PolicyResult.COST, cost);
        measures.put(PolicyResult.COST_PER_GOODPUT, good == 0 ? 0 : cost / good);
        measures.put(
                PolicyResult.RECLAIMABLE_SHARE,
                ratio(count(counted, c -> c.countsAsGoodput() && c.ranOnReclaimable), good));
        measures.put(PolicyResult.HARMED_NON_REPEATABLE, (double) count(counted, call -> call.lostToReclaim));
        measures.put(PolicyResult.DUPLICATE_RUNS, (double)
                count(counted, call -> !call.traceRequest.repeatable() && call.runs > 1));
        measures.put(PolicyResult.ENGINES_CRASHED_BY_ONE_REQUEST, (double) fleet.mostCrashesByOneRequest());
        measures.put(PolicyResult.INNOCENTS_REFUSED, (double) count(counted, MeasureCollector::isQuarantined));
        long extra = counted.stream()
                .mapToLong(call -> Math.max(0, call.attempts - 1))
                .sum();
        measures.put(PolicyResult.RETRY_SHARE, ratio(extra, counted.size()));
        measures.put(PolicyResult.FIRST_TOKEN_P95_MILLIS, firstTokenP95Millis(counted));
        measures.replaceAll((name, value) -> Math.round(value * 10_000) / 10_000.0);
        return new PolicyResult(
                policy,
                measures,
                refusals(counted),
                tally(counted, TraceEvent.Request::kind),
                tally(counted, TraceEvent.Request::account),
                timeline(counted));
    }

    private static boolean isQuarantined(ReplayedRequest call) {
        return call.refusal
                .filter(reason -> reason == DispatchDecision.Reason.QUARANTINED)
                .isPresent();
    }

    private static long count(List<ReplayedRequest> calls, Predicate<ReplayedRequest> condition) {
        return calls.stream().filter(condition).count();
    }

    private static double ratio(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    private double worstAccount(List<ReplayedRequest> counted) {
        List<Double> shares = new ArrayList<>();
        for (TraceAccount account : header.accounts()) {
            List<ReplayedRequest> own = counted.stream()
                    .filter(call -> call.traceRequest.account().equals(account.id()))
                    .toList();
            if (!account.flooding() && !own.isEmpty()) {
                shares.add(ratio(count(own, ReplayedRequest::countsAsGoodput), own.size()));
            }
        }
        double mean = shares.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double worst = shares.stream().mapToDouble(Double::doubleValue).min().orElse(0);
        return mean == 0 ? 0 : worst / mean;
    }

    private static double firstTokenP95Millis(List<ReplayedRequest> counted) {
        Histogram histogram = new Histogram(LONGEST_FIRST_TOKEN_MILLIS, 3);
        counted.stream()
                .filter(call -> call.firstTokenAtMillis >= 0)
                .forEach(call -> histogram.recordValue(call.firstTokenAtMillis - call.traceRequest.atMillis()));
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(95);
    }

    private static Map<String, Long> refusals(List<ReplayedRequest> counted) {
        Map<String, Long> refusals = new TreeMap<>();
        for (ReplayedRequest call : counted) {
            call.refusal.ifPresent(reason -> refusals.merge(reason.name(), 1L, Long::sum));
        }
        return refusals;
    }

    private static Map<String, PolicyResult.Tally> tally(
            List<ReplayedRequest> counted, Function<TraceEvent.Request, String> group) {
        Map<String, PolicyResult.Tally> tallies = new TreeMap<>();
        counted.stream().map(call -> group.apply(call.traceRequest)).distinct().forEach(name -> {
            List<ReplayedRequest> own = counted.stream()
                    .filter(call -> group.apply(call.traceRequest).equals(name))
                    .toList();
            long good = count(own, ReplayedRequest::countsAsGoodput);
            long refused = count(own, call -> call.refusal.isPresent());
            tallies.put(name, new PolicyResult.Tally(own.size(), good, refused, own.size() - good - refused));
        });
        return tallies;
    }

    private List<PolicyResult.TimelinePoint> timeline(List<ReplayedRequest> counted) {
        List<PolicyResult.TimelinePoint> points = new ArrayList<>();
        for (long end = SPAN_MILLIS; end <= header.durationMillis(); end += SPAN_MILLIS) {
            long endMillis = end;
            List<ReplayedRequest> inSpan = counted.stream()
                    .filter(call -> call.traceRequest.atMillis() < endMillis
                            && call.traceRequest.atMillis() >= endMillis - SPAN_MILLIS)
                    .toList();
            int[] roles = rolesBySpan.getOrDefault(end, new int[2]);
            points.add(new PolicyResult.TimelinePoint(
                    end,
                    count(inSpan, ReplayedRequest::countsAsGoodput),
                    inSpan.size(),
                    worstAccount(inSpan),
                    roles[0],
                    roles[1]));
        }
        return points;
    }
}
