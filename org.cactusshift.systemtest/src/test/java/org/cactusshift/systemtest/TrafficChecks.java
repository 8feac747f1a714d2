package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cactusshift.standin.ReceivedRequest;
import org.cactusshift.standin.StandInPlainService;
import org.cactusshift.standin.UsageTotals;
import org.cactusshift.standin.engine.StandInEngine;
import org.cactusshift.systemtest.CallResult.Outcome;
import org.cactusshift.systemtest.TrafficCall.Kind;

/** Compares the responses that callers received with what the stand-ins recorded. */
final class TrafficChecks {
    private static final int STABLE_WINDOWS = 3;

    private final FaultTestSite site;

    private final List<CallResult> results;

    TrafficChecks(FaultTestSite site, List<CallResult> results) {
        this.site = site;
        this.results = results;
    }

    /** Checks the guarantees that hold under every fault. */
    void assertInvariants() {
        assertEquals(
                List.of(),
                withOutcomes(Set.of(Outcome.WRONG)),
                "responses that belong to other calls or carry no outcome");
        Map<String, Integer> executions =
                StandInPlainService.executionsByPayment(site.platform().plainInstances());
        assertEquals(
                Map.of(),
                executions.entrySet().stream()
                        .filter(entry -> entry.getValue() > 1)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)),
                "payouts that ran more than once");
        assertEquals(List.of(), answeredButNotRun(executions), "answered payouts that never ran");
        assertEquals(List.of(), refusedButRun(executions), "calls refused as not-run that ran");
        assertEquals(List.of(), site.platform().usageService().conflictingReports(), "contradicting usage windows");
    }

    /** Checks that no call was lost, ended early or was left with an unknown outcome. */
    void assertNoCallInterrupted() {
        assertEquals(
                List.of(),
                withOutcomes(Set.of(Outcome.LOST, Outcome.ENDED_EARLY, Outcome.UNKNOWN)),
                "interrupted calls");
    }

    /** Waits until the reported usage of each account equals the usage in the responses to its callers. */
    void assertUsageEqualsServed() throws InterruptedException {
        Map<String, List<Long>> served = new TreeMap<>();
        for (CallResult result : results) {
            if (result.call().isChat() && result.promptTokens() > 0) {
                served.merge(
                        result.call().account().value(),
                        List.of(result.promptTokens(), result.completionTokens()),
                        (a, b) -> List.of(a.get(0) + b.get(0), a.get(1) + b.get(1)));
            }
        }
        try {
            BoundedWait.until(
                    "reported usage of " + served, () -> reportedByAccount().equals(served));
        } catch (AssertionError e) {
            assertEquals(served, reportedByAccount(), "usage by account: prompt and completion tokens");
        }
    }

    /**
     * Waits until the reported usage is final and checks that it is at most the served tokens plus what lost calls may
     * add, and at least the served tokens minus what the killed nodes may have lost.
     */
    void assertUsageWithinLossOf(Set<SiteNode> killed) throws InterruptedException {
        Set<String> addresses = killed.stream().map(SiteNode::callerAddress).collect(Collectors.toSet());
        long served = results.stream().mapToLong(TrafficChecks::tokensOf).sum();
        long lossBound = results.stream()
                .filter(result -> addresses.contains(result.node()))
                .mapToLong(TrafficChecks::tokensOf)
                .sum();
        long lostCalls = results.stream()
                .filter(result ->
                        result.outcome() == Outcome.LOST && result.call().isChat())
                .mapToLong(TrafficChecks::maximumTokensOf)
                .sum();
        BoundedWait.until(
                "reported usage of at least " + (served - lossBound), () -> reportedTokens() >= served - lossBound);
        long reported = awaitFinalReportedTokens();
        System.out.println("tokens served " + served + ", reported " + reported + ", loss bound " + lossBound);
        assertTrue(reported <= served + lostCalls, reported + " tokens reported, served " + served);
    }

    private static long tokensOf(CallResult result) {
        return result.promptTokens() + result.completionTokens();
    }

    private static long maximumTokensOf(CallResult result) {
        return result.call().subject().length() + result.call().maximumTokens();
    }

    /** Returns the reported tokens after the total has not changed for {@link #STABLE_WINDOWS} usage windows. */
    private long awaitFinalReportedTokens() throws InterruptedException {
        long stableMillis = STABLE_WINDOWS * FaultTestSite.TIMING.usageWindowMillis();
        long[] lastChange = {reportedTokens(), System.currentTimeMillis()};
        BoundedWait.until("the last usage window", () -> {
            long reported = reportedTokens();
            if (reported != lastChange[0]) {
                lastChange[0] = reported;
                lastChange[1] = System.currentTimeMillis();
            }
            return System.currentTimeMillis() - lastChange[1] >= stableMillis;
        });
        return lastChange[0];
    }

    private long reportedTokens() {
        return reportedByAccount().values().stream()
                .mapToLong(tokens -> tokens.get(0) + tokens.get(1))
                .sum();
    }

    /** Returns the results of calls of the given kinds with one of the given outcomes. */
    List<CallResult> resultsOf(Set<Kind> kinds, Set<Outcome> outcomes) {
        return withOutcomes(outcomes).stream()
                .filter(result -> kinds.contains(result.call().kind()))
                .toList();
    }

    private Map<String, List<Long>> reportedByAccount() {
        Map<String, List<Long>> reported = new TreeMap<>();
        Map<String, UsageTotals> totals = site.platform().usageService().totalsByAccount();
        totals.forEach((account, sum) -> {
            if (sum.promptTokens() + sum.completionTokens() > 0) {
                reported.put(account, List.of(sum.promptTokens(), sum.completionTokens()));
            }
        });
        return reported;
    }

    /** Returns the number of calls by outcome. */
    Map<Outcome, Long> countsByOutcome() {
        return results.stream().collect(Collectors.groupingBy(CallResult::outcome, Collectors.counting()));
    }

    private List<CallResult> withOutcomes(Set<Outcome> outcomes) {
        return results.stream()
                .filter(result -> outcomes.contains(result.outcome()))
                .toList();
    }

    private List<CallResult> answeredButNotRun(Map<String, Integer> executions) {
        return results.stream()
                .filter(result -> result.call().kind() == Kind.PAYOUT && result.outcome() == Outcome.ANSWERED)
                .filter(result -> !executions.containsKey(result.call().subject()))
                .toList();
    }

    /** Returns the calls whose every attempt was refused as not-run although a stand-in ran one. */
    private List<TrafficCall> refusedButRun(Map<String, Integer> executions) {
        Map<TrafficCall, Set<Outcome>> outcomesByCall = new HashMap<>();
        results.stream()
                .filter(result -> result.call().kind() != Kind.BALANCE)
                .forEach(result -> outcomesByCall.merge(result.call(), Set.of(result.outcome()), TrafficChecks::union));
        return outcomesByCall.entrySet().stream()
                .filter(entry -> entry.getValue().equals(Set.of(Outcome.NOT_RUN)))
                .map(Map.Entry::getKey)
                .filter(call -> call.isChat() ? ranOnEngine(call) : executions.containsKey(call.subject()))
                .toList();
    }

    private static Set<Outcome> union(Set<Outcome> a, Set<Outcome> b) {
        return Stream.concat(a.stream(), b.stream()).collect(Collectors.toSet());
    }

    private boolean ranOnEngine(TrafficCall call) {
        String content = "\"" + call.subject() + "\"";
        return site.platform().engines().stream()
                .map(StandInEngine::log)
                .flatMap(log -> log.all().stream())
                .anyMatch(request ->
                        request.body().contains(content) && request.outcome() != ReceivedRequest.Outcome.REFUSED);
    }
}
