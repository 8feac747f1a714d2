package org.cactusshift.pgm.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.standin.StandInPlainService;
import org.cactusshift.standin.UsageTotals;
import org.cactusshift.standin.platform.StandInPlatform;

/** Computes the metrics of a demo from the results of the calls and the records of the stand-ins. */
final class DemoMetrics {
    private static final double MINIMUM_GOODPUT_SHARE = 0.95;
    private static final double MINIMUM_WORST_TO_MEAN_RATIO = 0.9;
    private static final int MAXIMUM_ROLE_CHANGE_ORDERS = 4;
    private static final double MAXIMUM_COST_RATIO = 0.7;
    private static final double FIRST_TOKEN_QUANTILE = 0.95;

    private final List<DemoCall> calls;
    private final List<DemoResult> results;
    private final SiteConfig config;
    private final StandInPlatform platform;

    DemoMetrics(List<DemoCall> calls, List<DemoResult> results, SiteConfig config, StandInPlatform platform) {
        this.calls = calls;
        this.results = results;
        this.config = config;
        this.platform = platform;
    }

    /**
     * Returns the metrics in the order of display; those without a bound are informational, among them one for each
     * refusal code.
     */
    List<DemoMetric> rows() {
        List<DemoMetric> rows = new ArrayList<>();
        rows.add(DemoMetric.atLeast("goodput, share of calls", goodput(), MINIMUM_GOODPUT_SHARE));
        rows.add(DemoMetric.atLeast("worst account over mean", worstToMeanRatio(), MINIMUM_WORST_TO_MEAN_RATIO));
        rows.add(DemoMetric.atMost("role changes", roleChangeOrders(), MAXIMUM_ROLE_CHANGE_ORDERS));
        rows.add(DemoMetric.atMost("cost over all-on-demand fleet", costRatio(), MAXIMUM_COST_RATIO));
        rows.add(DemoMetric.equal("wrong or cut answers", count(DemoResult.Outcome.WRONG), 0));
        rows.add(DemoMetric.equal("calls without an answer", (long) calls.size() - results.size(), 0));
        rows.add(DemoMetric.equal("payouts run twice", countPayouts(executionCount -> executionCount > 1), 0));
        rows.add(DemoMetric.equal("payouts answered, not run", payoutsConfirmedButNotRun(), 0));
        rows.add(DemoMetric.equal("refusals not-run that ran", payoutsRefusedButRun(), 0));
        rows.add(DemoMetric.equal("usage windows contradicted", conflictingUsageReports(), 0));
        rows.add(DemoMetric.equal("usage tokens off from callers'", tokenDifference(), 0));
        rows.add(DemoMetric.equal("usage tokens reported late", lateTokens(), 0));
        rows.add(DemoMetric.equal("client keys seen upstream", requestsWithClientKey(), 0));
        rows.add(DemoMetric.informational("work on reclaimable, share", reclaimableRequestShare()));
        results.stream()
                .map(DemoResult::refusalCode)
                .filter(code -> !code.isEmpty())
                .collect(Collectors.groupingBy(code -> code, TreeMap::new, Collectors.counting()))
                .forEach((code, count) -> rows.add(DemoMetric.informational("refused: " + code, count)));
        rows.add(DemoMetric.informational("first token of questions, p95 ms", shortPromptFirstTokenP95Millis()));
        return rows;
    }

    private double goodput() {
        return calls.isEmpty() ? 0 : (double) count(DemoResult.Outcome.IN_TIME) / calls.size();
    }

    private long count(DemoResult.Outcome outcome) {
        return results.stream().filter(result -> result.outcome() == outcome).count();
    }

    /** Returns the lowest share of calls in time of a client account, divided by the mean of these shares. */
    private double worstToMeanRatio() {
        Map<AccountId, Long> offered =
                calls.stream().collect(Collectors.groupingBy(DemoCall::account, Collectors.counting()));
        Map<AccountId, Long> served = results.stream()
                .filter(result -> result.outcome() == DemoResult.Outcome.IN_TIME)
                .collect(Collectors.groupingBy(result -> result.call().account(), Collectors.counting()));
        List<Double> shares = offered.entrySet().stream()
                .map(entry -> (double) served.getOrDefault(entry.getKey(), 0L) / entry.getValue())
                .toList();
        double mean = shares.stream().mapToDouble(share -> share).average().orElse(0);
        double worst = shares.stream().mapToDouble(share -> share).min().orElse(0);
        return mean == 0 ? 0 : worst / mean;
    }

    /** Returns the number of role-change orders that engines received, in any outcome. */
    private long roleChangeOrders() {
        return platform.engines().stream()
                .flatMap(engine -> engine.receivedOrders().stream())
                .filter(order -> order.kind().equals("set_role"))
                .count();
    }

    /**
     * Returns the ratio of the price of all upstreams to their price if each cost as much as the most expensive
     * on-demand upstream, that is one that is not reclaimable, of its service; an upstream whose service has none
     * counts with its own price.
     */
    private double costRatio() {
        double paid = 0;
        double allOnDemand = 0;
        for (UpstreamConfig upstream : config.upstreams()) {
            paid += upstream.pricePerHour();
            allOnDemand += config.upstreams().stream()
                    .filter(other -> other.service().equals(upstream.service()) && !other.reclaimable())
                    .mapToDouble(UpstreamConfig::pricePerHour)
                    .max()
                    .orElse(upstream.pricePerHour());
        }
        return paid / allOnDemand;
    }

    private Map<String, Integer> executionCountByPaymentId() {
        return StandInPlainService.executionCountByPaymentId(platform.plainInstances());
    }

    private long countPayouts(IntPredicate countMatches) {
        return executionCountByPaymentId().values().stream()
                .filter(countMatches::test)
                .count();
    }

    private long payoutsConfirmedButNotRun() {
        Map<String, Integer> executionCountByPaymentId = executionCountByPaymentId();
        return results.stream()
                .filter(result ->
                        result.outcome() == DemoResult.Outcome.IN_TIME || result.outcome() == DemoResult.Outcome.LATE)
                .flatMap(result -> result.call().paymentId().stream())
                .filter(payment -> !executionCountByPaymentId.containsKey(payment))
                .count();
    }

    private long payoutsRefusedButRun() {
        Map<String, Integer> executionCountByPaymentId = executionCountByPaymentId();
        return results.stream()
                .filter(result -> result.outcome() == DemoResult.Outcome.NOT_RUN)
                .flatMap(result -> result.call().paymentId().stream())
                .filter(executionCountByPaymentId::containsKey)
                .count();
    }

    private long conflictingUsageReports() {
        return platform.usageService().conflictingReports().size();
    }

    /** Returns the tokens by which usage reports and responses to callers differ, summed over all accounts. */
    long tokenDifference() {
        Map<String, UsageTotals> reported = platform.usageService().totalsByAccount();
        long difference = 0;
        for (AccountId account :
                calls.stream().map(DemoCall::account).distinct().toList()) {
            UsageTotals totals = reported.get(account.value());
            long prompt = totals == null ? 0 : totals.promptTokens();
            long completion = totals == null ? 0 : totals.completionTokens();
            difference += Math.abs(prompt - sum(account, DemoResult::promptTokens));
            difference += Math.abs(completion - sum(account, DemoResult::completionTokens));
        }
        return difference;
    }

    private long sum(AccountId account, ToLongFunction<DemoResult> tokens) {
        return results.stream()
                .filter(result -> result.call().account().equals(account))
                .mapToLong(tokens)
                .sum();
    }

    private long lateTokens() {
        return platform.usageService().totalsByAccount().values().stream()
                .mapToLong(UsageTotals::lateTokens)
                .sum();
    }

    /**
     * Returns the number of requests that reached upstreams with a bearer token, which is how callers send their keys.
     */
    private long requestsWithClientKey() {
        return platform.upstreams().values().stream()
                .flatMap(upstream -> upstream.log().all().stream())
                .filter(request -> request.headers().values().stream().anyMatch(value -> value.contains("Bearer")))
                .count();
    }

    /** Returns the share of reclaimable upstreams in the received requests, load polls left out. */
    private double reclaimableRequestShare() {
        long all = 0;
        long onReclaimable = 0;
        for (UpstreamConfig upstream : config.upstreams()) {
            long received = platform.upstreams()
                    .get(upstream.id().value())
                    .log()
                    .matching(request -> !request.path().equals("/load"))
                    .size();
            all += received;
            onReclaimable += upstream.reclaimable() ? received : 0;
        }
        return all == 0 ? 0 : (double) onReclaimable / all;
    }

    /**
     * Returns the 95th percentile of the time to the first token, in milliseconds, of streamed model calls in time with
     * fewer than 1,000 prompt tokens; 0 if there are none.
     */
    private double shortPromptFirstTokenP95Millis() {
        List<Long> firstTokenTimes = results.stream()
                .filter(result -> result.call().isModelCall() && result.call().streamed())
                .filter(result -> result.outcome() == DemoResult.Outcome.IN_TIME)
                .filter(result -> result.promptTokens() < 1_000)
                .map(DemoResult::firstTokenMillis)
                .sorted()
                .toList();
        return firstTokenTimes.isEmpty()
                ? 0
                : firstTokenTimes.get((int) Math.floor(FIRST_TOKEN_QUANTILE * (firstTokenTimes.size() - 1)));
    }
}
