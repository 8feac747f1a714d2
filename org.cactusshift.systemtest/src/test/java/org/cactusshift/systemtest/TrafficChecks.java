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
    /** Number of usage windows without a change after which the reported usage counts as final. */
    private static final int STABLE_USAGE_WINDOWS = 3;

    private final FaultTestSite site;

    private final List<CallResult> results;

    TrafficChecks(FaultTestSite site, List<CallResult> results) {
        this.site = site;
        this.results = results;
    }

    /**
     * Checks the guarantees that hold under every fault: no wrong response, each payout runs at most once, an answered
     * payout ran, a chat or payout refused as not-run did not run, and no two usage reports of one window conflict.
     */
    void assertInvariants() {
        assertEquals(
                List.of(),
                withOutcomes(Set.of(Outcome.WRONG)),
                "responses that are incorrect, belong to other calls or are refusals without an outcome header");
        Map<String, Integer> executions =
                StandInPlainService.executionCountByPaymentId(site.platform().plainInstances());
        assertEquals(
                Map.of(),
                executions.entrySet().stream()
                        .filter(entry -> entry.getValue() > 1)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)),
                "payouts that ran more than once");
        assertEquals(List.of(), answeredPayoutsNotRun(executions), "answered payouts that never ran");
        assertEquals(List.of(), refusedCallsThatRan(executions), "calls refused as not-run that ran");
        assertEquals(List.of(), site.platform().usageService().conflictingReports(), "conflicting usage reports");
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
        // Prompt and completion tokens, in this order.
        Map<String, List<Long>> servedTokensByAccount = new TreeMap<>();
        for (CallResult result : results) {
            if (result.call().isChat() && result.promptTokens() > 0) {
                servedTokensByAccount.merge(
                        result.call().account().value(),
                        List.of(result.promptTokens(), result.completionTokens()),
                        (a, b) -> List.of(a.get(0) + b.get(0), a.get(1) + b.get(1)));
            }
        }
        try {
            BoundedWait.until(
                    "reported usage of " + servedTokensByAccount,
                    () -> reportedTokensByAccount().equals(servedTokensByAccount));
        } catch (AssertionError e) {
            // Shows the reported usage too, which the time-out message lacks.
            assertEquals(
                    servedTokensByAccount, reportedTokensByAccount(), "usage by account: prompt and completion tokens");
        }
    }

    /**
     * Waits until the reported usage is final and checks that it is at most the served tokens plus the maximum tokens
     * of lost chats, and at least the served tokens minus those of the killed nodes.
     */
    void assertUsageWithinBounds(Set<SiteNode> killedNodes) throws InterruptedException {
        Set<String> killedAddresses =
                killedNodes.stream().map(SiteNode::callerAddress).collect(Collectors.toSet());
        long served = results.stream().mapToLong(TrafficChecks::tokensOf).sum();
        long killedNodeTokens = results.stream()
                .filter(result -> killedAddresses.contains(result.nodeAddress()))
                .mapToLong(TrafficChecks::tokensOf)
                .sum();
        long maximumLostChatTokens = results.stream()
                .filter(result ->
                        result.outcome() == Outcome.LOST && result.call().isChat())
                .mapToLong(TrafficChecks::maximumTokensOf)
                .sum();
        BoundedWait.until(
                "reported usage of at least " + (served - killedNodeTokens),
                () -> reportedTokens() >= served - killedNodeTokens);
        long reported = awaitFinalReportedTokens();
        System.out.println(
                "tokens served " + served + ", reported " + reported + ", served by killed nodes " + killedNodeTokens);
        assertTrue(
                reported <= served + maximumLostChatTokens,
                reported + " tokens reported, more than served and lost chats explain; tokens served: " + served);
    }

    private static long tokensOf(CallResult result) {
        return result.promptTokens() + result.completionTokens();
    }

    /** Returns a bound of the tokens of a chat; its prompt counts one token for each character. */
    private static long maximumTokensOf(CallResult result) {
        return result.call().promptOrPaymentId().length() + result.call().maximumTokens();
    }

    /** Returns the reported tokens after the total has not changed for {@link #STABLE_USAGE_WINDOWS} usage windows. */
    private long awaitFinalReportedTokens() throws InterruptedException {
        long stableMillis = STABLE_USAGE_WINDOWS * FaultTestSite.TIMING.usageWindowMillis();
        // The last total, and the time at which it was first seen, in milliseconds.
        long[] lastChange = {reportedTokens(), System.currentTimeMillis()};
        BoundedWait.until("reported usage that no longer changes", () -> {
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
        return reportedTokensByAccount().values().stream()
                .mapToLong(tokens -> tokens.get(0) + tokens.get(1))
                .sum();
    }

    /** Returns the results of calls of the given kinds with one of the given outcomes. */
    List<CallResult> resultsOf(Set<Kind> kinds, Set<Outcome> outcomes) {
        return withOutcomes(outcomes).stream()
                .filter(result -> kinds.contains(result.call().kind()))
                .toList();
    }

    /** Returns the reported prompt and completion tokens, in this order, of each client account. */
    private Map<String, List<Long>> reportedTokensByAccount() {
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

    private List<CallResult> answeredPayoutsNotRun(Map<String, Integer> executions) {
        return results.stream()
                .filter(result -> result.call().kind() == Kind.PAYOUT && result.outcome() == Outcome.ANSWERED)
                .filter(result -> !executions.containsKey(result.call().promptOrPaymentId()))
                .toList();
    }

    /** Returns the calls whose every attempt was refused as not-run although a stand-in ran one of the attempts. */
    private List<TrafficCall> refusedCallsThatRan(Map<String, Integer> executions) {
        Map<TrafficCall, Set<Outcome>> outcomesByCall = new HashMap<>();
        results.stream()
                .filter(result -> result.call().kind() != Kind.BALANCE)
                .forEach(result -> outcomesByCall.merge(result.call(), Set.of(result.outcome()), TrafficChecks::union));
        return outcomesByCall.entrySet().stream()
                .filter(entry -> entry.getValue().equals(Set.of(Outcome.NOT_RUN)))
                .map(Map.Entry::getKey)
                .filter(call -> call.isChat() ? ranOnEngine(call) : executions.containsKey(call.promptOrPaymentId()))
                .toList();
    }

    private static Set<Outcome> union(Set<Outcome> a, Set<Outcome> b) {
        return Stream.concat(a.stream(), b.stream()).collect(Collectors.toSet());
    }

    private boolean ranOnEngine(TrafficCall call) {
        String content = "\"" + call.promptOrPaymentId() + "\"";
        return site.platform().engines().stream()
                .map(StandInEngine::log)
                .flatMap(log -> log.all().stream())
                .anyMatch(request ->
                        request.body().contains(content) && request.outcome() != ReceivedRequest.Outcome.REFUSED);
    }
}
