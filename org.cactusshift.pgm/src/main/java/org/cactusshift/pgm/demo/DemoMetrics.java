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
    private static final double GOODPUT_BOUND = 0.95;
    private static final double WORST_ACCOUNT_BOUND = 0.9;
    private static final int ROLE_CHANGES_BOUND = 4;
    private static final double COST_BOUND = 0.7;
    private static final double QUANTILE = 0.95;

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

    /** Returns the rows of the table. */
    List<DemoMetric> rows() {
        List<DemoMetric> rows = new ArrayList<>();
        rows.add(DemoMetric.atLeast("goodput, share of calls", goodput(), GOODPUT_BOUND));
        rows.add(DemoMetric.atLeast("worst account over mean", worstAccount(), WORST_ACCOUNT_BOUND));
        rows.add(DemoMetric.atMost("role changes", roleChanges(), ROLE_CHANGES_BOUND));
        rows.add(DemoMetric.atMost("cost over all-on-demand fleet", costRatio(), COST_BOUND));
        rows.add(DemoMetric.equal("wrong or cut answers", count(DemoResult.Outcome.WRONG), 0));
        rows.add(DemoMetric.equal("calls without an answer", (long) calls.size() - results.size(), 0));
        rows.add(
                DemoMetric.equal("payouts run twice", paymentsWithExecutions(executionCount -> executionCount > 1), 0));
        rows.add(DemoMetric.equal("payouts answered, not run", answeredButNotRun(), 0));
        rows.add(DemoMetric.equal("refusals not-run that ran", refusedButRun(), 0));
        rows.add(DemoMetric.equal("usage windows contradicted", contradictions(), 0));
        rows.add(DemoMetric.equal("usage tokens off from callers'", tokenDifference(), 0));
        rows.add(DemoMetric.equal("usage tokens reported late", lateTokens(), 0));
        rows.add(DemoMetric.equal("client keys seen upstream", requestsWithClientKey(), 0));
        rows.add(DemoMetric.informational("work on reclaimable, share", reclaimableShare()));
        results.stream()
                .map(DemoResult::refusalCode)
                .filter(code -> !code.isEmpty())
                .collect(Collectors.groupingBy(code -> code, TreeMap::new, Collectors.counting()))
                .forEach((code, count) -> rows.add(DemoMetric.informational("refused: " + code, count)));
        rows.add(DemoMetric.informational("first token of questions, p95 ms", firstTokenP95Millis()));
        return rows;
    }

    private double goodput() {
        return calls.isEmpty() ? 0 : (double) count(DemoResult.Outcome.IN_TIME) / calls.size();
    }

    private long count(DemoResult.Outcome outcome) {
        return results.stream().filter(result -> result.outcome() == outcome).count();
    }

    private double worstAccount() {
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

    private long roleChanges() {
        return platform.engines().stream()
                .flatMap(engine -> engine.receivedOrders().stream())
                .filter(order -> order.kind().equals("set_role"))
                .count();
    }

    /** Returns the price of the fleet over its price if each upstream were the dearest on-demand one of its service. */
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

    private Map<String, Integer> executions() {
        return StandInPlainService.executionsByPayment(platform.plainInstances());
    }

    private long paymentsWithExecutions(IntPredicate executionCount) {
        return executions().values().stream().filter(executionCount::test).count();
    }

    private long answeredButNotRun() {
        Map<String, Integer> executions = executions();
        return results.stream()
                .filter(result ->
                        result.outcome() == DemoResult.Outcome.IN_TIME || result.outcome() == DemoResult.Outcome.LATE)
                .flatMap(result -> result.call().paymentId().stream())
                .filter(payment -> !executions.containsKey(payment))
                .count();
    }

    private long refusedButRun() {
        Map<String, Integer> executions = executions();
        return results.stream()
                .filter(result -> result.outcome() == DemoResult.Outcome.NOT_RUN)
                .flatMap(result -> result.call().paymentId().stream())
                .filter(executions::containsKey)
                .count();
    }

    private long contradictions() {
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

    private long requestsWithClientKey() {
        return platform.upstreams().values().stream()
                .flatMap(upstream -> upstream.log().all().stream())
                .filter(request -> request.headers().values().stream().anyMatch(value -> value.contains("Bearer")))
                .count();
    }

    private double reclaimableShare() {
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

    private double firstTokenP95Millis() {
        List<Long> firstTokenTimes = results.stream()
                .filter(result -> result.call().isModelCall() && result.call().streamed())
                .filter(result -> result.outcome() == DemoResult.Outcome.IN_TIME)
                .filter(result -> result.promptTokens() < 1_000)
                .map(DemoResult::firstTokenMillis)
                .sorted()
                .toList();
        return firstTokenTimes.isEmpty()
                ? 0
                : firstTokenTimes.get((int) Math.floor(QUANTILE * (firstTokenTimes.size() - 1)));
    }
}
