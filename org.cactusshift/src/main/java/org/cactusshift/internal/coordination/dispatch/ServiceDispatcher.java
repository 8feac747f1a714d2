package org.cactusshift.internal.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.fairness.RequestQueue;
import org.cactusshift.internal.coordination.limits.AccountLimiter;
import org.cactusshift.internal.coordination.quarantine.CrashSuspectReport;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.cactusshift.internal.coordination.retry.RetryBudget;
import org.cactusshift.internal.coordination.routing.FleetView;
import org.cactusshift.internal.coordination.routing.PrefixIndex;
import org.cactusshift.internal.coordination.routing.RouteQuery;
import org.cactusshift.internal.coordination.routing.RoutingDecision;
import org.cactusshift.internal.coordination.routing.UpstreamHealth;
import org.cactusshift.internal.coordination.routing.UpstreamState;

/**
 * Dispatches the requests of one service at one node.
 *
 * <p>A request passes the quarantine, the deadline check and the account limiter, in this order, waits in a queue that
 * is fair between accounts, and is sent to the upstream that the routing policy selects. Retries have precedence over
 * the queue and are limited by the retry budget. Suspects of the quarantine wait separately to run alone.
 */
public final class ServiceDispatcher implements Dispatcher {
    // The number of unused retries that the retry budget can accumulate; it starts with all of them.
    private static final int RETRY_RESERVE_COUNT = 50;
    // Number of queue heads that are tried, so that a request that fits nowhere does not block the others.
    private static final int MAXIMUM_QUEUE_HEADS = 8;
    // The time for which the queue is not examined again after no request at its heads could be routed.
    private static final long BLOCKED_PAUSE_MILLIS = 5;
    private static final long QUARANTINE_RETENTION_MILLIS = 600_000;
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 1_000;
    private static final long MAXIMUM_ESTIMATED_RETRY_AFTER_MILLIS = 60_000;

    private final DispatcherOptions options;
    private final DispatchPolicy policy;
    private final RandomGenerator random;
    private final FleetView fleet = FleetView.create();
    private final RequestQueue<PendingRequest> queue;
    private final ArrayDeque<PendingRequest> retries = new ArrayDeque<>();
    private final Quarantine quarantine = Quarantine.create(QUARANTINE_RETENTION_MILLIS);
    private final PromptPartQuarantine partQuarantine = new PromptPartQuarantine();
    private final SuspectScheduler suspectScheduler = new SuspectScheduler(quarantine);
    private final AccountLimiter limiter = AccountLimiter.create();
    private final RetryBudget retryBudget;
    private final WorkEstimator estimator = new WorkEstimator();
    private final LongPromptPartition longPromptPartition = new LongPromptPartition(estimator);
    private final RemotePrefillRate remotePrefillRate = new RemotePrefillRate();
    private final DecisionLog decisionLog = new DecisionLog();
    private final Map<RequestId, PendingRequest> pendingById = new HashMap<>();
    private final OpenAttempts openAttempts;
    private final RequestRouter router;
    private final AccountTotalsCounter accountTotals = new AccountTotalsCounter();
    private long blockedUntilMillis = Long.MIN_VALUE;

    private ServiceDispatcher(DispatcherOptions options, DispatchPolicy policy, RandomGenerator random) {
        this.options = Objects.requireNonNull(options, "options");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.random = Objects.requireNonNull(random, "random");
        this.queue = policy.queueing().create();
        this.openAttempts = new OpenAttempts(options.incarnation());
        this.retryBudget = RetryBudget.create(options.retryBudgetRatio(), RETRY_RESERVE_COUNT);
        this.router =
                new RequestRouter(policy, fleet, suspectScheduler, longPromptPartition, options.incarnation(), random);
    }

    /**
     * Returns a dispatcher without accounts and upstreams, with the standard policy.
     *
     * @param options the fixed options
     * @param random the source of all random choices; a fixed seed makes the decisions reproducible
     * @return the dispatcher
     */
    public static ServiceDispatcher create(DispatcherOptions options, RandomGenerator random) {
        return create(options, DispatchPolicy.standard(), random);
    }

    /**
     * Returns a dispatcher without accounts and upstreams.
     *
     * @param options the fixed options
     * @param policy the policies
     * @param random the source of all random choices; a fixed seed makes the decisions reproducible
     * @return the dispatcher
     */
    public static ServiceDispatcher create(DispatcherOptions options, DispatchPolicy policy, RandomGenerator random) {
        return new ServiceDispatcher(options, policy, random);
    }

    @Override
    public List<DispatchDecision> onConfig(
            List<AccountConfig> accounts, List<UpstreamConfig> newUpstreams, long nowMillis) {
        fleet.install(newUpstreams);
        blockedUntilMillis = Long.MIN_VALUE;
        limiter.install(accounts, nowMillis);
        accounts.forEach(account -> queue.setWeight(account.id(), account.weight()));
        return processQueues(nowMillis);
    }

    @Override
    public List<DispatchDecision> submit(DispatchRequest request, long nowMillis) {
        retryBudget.onRequest();
        accountTotals.onOpened(request.account());
        PendingRequest pending = createPending(request, nowMillis);
        Optional<DispatchDecision> refusal = refuseIfNotAdmissible(pending, nowMillis);
        if (refusal.isPresent()) {
            return List.of(refusal.get());
        }
        List<DispatchDecision> decisions = new ArrayList<>();
        if (queuedRequests() >= options.maximumQueuedRequests()) {
            Optional<PendingRequest> displaced = queue.displacementCandidate(request.account());
            if (displaced.isEmpty()) {
                return List.of(refuse(pending, DispatchDecision.Reason.QUEUE_FULL, nowMillis));
            }
            queue.remove(displaced.get().request.account(), displaced.get());
            decisions.add(refuse(displaced.get(), DispatchDecision.Reason.QUEUE_FULL, nowMillis));
        }
        enqueue(pending, nowMillis);
        decisions.addAll(processQueues(nowMillis));
        return decisions;
    }

    private PendingRequest createPending(DispatchRequest request, long nowMillis) {
        long outputTokens = estimator.expectedOutputTokens(request);
        long serviceMillis =
                policy.refusesEarly() ? estimator.shortestServiceMillis(leastUncachedTokens(request), outputTokens) : 0;
        longPromptPartition.onArrival(request, outputTokens, nowMillis);
        return new PendingRequest(request, outputTokens, request.deadlineMillis() - serviceMillis);
    }

    private long leastUncachedTokens(DispatchRequest request) {
        int cachedBlocks = fleet.prefixes().cachedBlocks(request.prefixHashes()).values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
        return Math.max(0, request.promptTokens() - (long) cachedBlocks * UpstreamState.BLOCK_TOKENS);
    }

    private Optional<DispatchDecision> refuseIfNotAdmissible(PendingRequest pending, long nowMillis) {
        DispatchRequest request = pending.request;
        if (fleet.upstreams().isEmpty()) {
            return Optional.of(refuse(pending, DispatchDecision.Reason.NO_UPSTREAM, nowMillis));
        }
        if (verdict(request, nowMillis) == Quarantine.Verdict.REFUSED) {
            return Optional.of(refuse(pending, DispatchDecision.Reason.QUARANTINED, nowMillis));
        }
        long waitMillis = policy.refusesEarly()
                ? estimator.queueDelayMillis(queue.costAhead(request.account(), pending.latestStartMillis))
                : 0;
        if (request.deadlineMillis() <= nowMillis || nowMillis + waitMillis > pending.latestStartMillis) {
            return Optional.of(refuse(pending, DispatchDecision.Reason.DEADLINE, nowMillis));
        }
        long delayMillis = limiter.admitOrRetryAfterMillis(request.account(), pending.expectedTotalTokens(), nowMillis);
        if (delayMillis > 0) {
            return Optional.of(refuse(pending, DispatchDecision.Reason.ACCOUNT_LIMIT, delayMillis, nowMillis));
        }
        pending.admitted = true;
        return Optional.empty();
    }

    private Quarantine.Verdict verdict(DispatchRequest request, long nowMillis) {
        if (policy.quarantines() && partQuarantine.isRefused(request, nowMillis)) {
            return Quarantine.Verdict.REFUSED;
        }
        return policy.quarantines() ? quarantine.verdict(request.fingerprint(), nowMillis) : Quarantine.Verdict.CLEAR;
    }

    private void enqueue(PendingRequest pending, long nowMillis) {
        pendingById.put(pending.request.id(), pending);
        if (verdict(pending.request, nowMillis) == Quarantine.Verdict.SUSPECT) {
            suspectScheduler.add(pending, nowMillis);
            return;
        }
        double workTokens = estimator.workTokens(pending.request.promptTokens(), pending.expectedOutputTokens);
        queue.add(pending.request.account(), pending, workTokens, pending.latestStartMillis);
    }

    @Override
    public void onProgress(AttemptId attempt, int outputTokens, long nowMillis) {
        openAttempts.find(attempt).ifPresent(openAttempt -> onProgress(openAttempt, outputTokens));
    }

    private void onProgress(Attempt openAttempt, int outputTokens) {
        openAttempt.reportedOutputTokens += outputTokens;
        openAttempt.outputDeadline.onTokens(outputTokens);
        countDelivered(openAttempt.pending, outputTokens);
        if (openAttempt.isProbe) {
            openAttempt.upstream.health().onSuccess(openAttempt.sentAtMillis);
        }
    }

    private void countDelivered(PendingRequest pending, long outputTokens) {
        pending.deliveredTokens += outputTokens;
        accountTotals.onDecoded(pending.request.account(), outputTokens);
    }

    @Override
    public List<DispatchDecision> onAttemptEnd(AttemptId attempt, AttemptEnd end, long nowMillis) {
        Optional<Attempt> endedAttempt = openAttempts.find(attempt);
        if (endedAttempt.isEmpty()) {
            return List.of();
        }
        close(attempt, endedAttempt.get(), end, nowMillis);
        List<DispatchDecision> decisions = new ArrayList<>(applyOutcome(endedAttempt.get(), end.outcome(), nowMillis));
        decisions.addAll(processQueues(nowMillis));
        return decisions;
    }

    private void close(AttemptId id, Attempt attempt, AttemptEnd end, long nowMillis) {
        openAttempts.close(id, nowMillis);
        blockedUntilMillis = Long.MIN_VALUE;
        countDelivered(attempt.pending, Math.max(0, end.outputTokens() - attempt.reportedOutputTokens));
        if (attempt.runsAlone) {
            suspectScheduler.releaseReservation(attempt.upstream.id());
        }
    }

    @Override
    public List<DispatchDecision> replaceSilent(AttemptId attempt, AttemptEnd end, long nowMillis) {
        Optional<Attempt> silentAttempt = openAttempts.find(attempt);
        if (silentAttempt.isEmpty()) {
            return List.of();
        }
        silentAttempt.get().onSilence(nowMillis, random);
        Optional<RoutingDecision> replacement = replacementOf(silentAttempt.get(), nowMillis);
        if (replacement.isEmpty() || !retryBudget.tryRetry()) {
            return List.of();
        }
        PendingRequest pending = silentAttempt.get().pending;
        close(attempt, silentAttempt.get(), end, nowMillis);
        pending.mayHaveRun = true;
        List<DispatchDecision> decisions = new ArrayList<>();
        decisions.add(send(pending, replacement.get(), false, nowMillis));
        decisions.addAll(processQueues(nowMillis));
        return decisions;
    }

    /** Returns where a request may be sent now instead of to its silent upstream; a suspect must wait to run alone. */
    private Optional<RoutingDecision> replacementOf(Attempt silentAttempt, long nowMillis) {
        PendingRequest pending = silentAttempt.pending;
        if (!pending.mayRunAgain(options.kind())
                || pending.isTooLate(nowMillis)
                || verdict(pending.request, nowMillis) != Quarantine.Verdict.CLEAR) {
            return Optional.empty();
        }
        return router.chooseOther(pending, silentAttempt.upstream.id(), nowMillis);
    }

    private List<DispatchDecision> applyOutcome(Attempt attempt, AttemptEnd.Outcome outcome, long nowMillis) {
        PendingRequest pending = attempt.pending;
        UpstreamHealth health = attempt.upstream.health();
        switch (outcome) {
            case COMPLETED:
                complete(attempt, nowMillis);
                return List.of();
            case CANCELLED:
                health.onInconclusiveProbe(nowMillis);
                finish(pending);
                return List.of();
            case NOT_RUN:
                health.onInconclusiveProbe(nowMillis);
                attempt.upstream.onRefused(nowMillis);
                return retry(pending, nowMillis);
            case NOT_SENT:
                health.onFailure(nowMillis, random);
                return retry(pending, nowMillis);
            case CRASHED:
                health.onFailure(nowMillis, random);
                fleet.prefixes().removeEngine(attempt.upstream.id());
                recordCrash(attempt, nowMillis);
                return retryAfterLoss(pending, nowMillis);
            case SILENT:
                attempt.onSilence(nowMillis, random);
                return retryAfterLoss(pending, nowMillis);
            default:
                throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    /** Counts a crash against the request, unless the upstream took no new requests, as its loss is then expected. */
    private void recordCrash(Attempt attempt, long nowMillis) {
        if (attempt.upstream.isOpen()) {
            DispatchRequest request = attempt.pending.request;
            quarantine.onCrash(request.fingerprint(), attempt.upstream.id(), attempt.sentAtMillis, nowMillis);
            partQuarantine.onCrash(request, attempt.upstream.id(), attempt.sentAtMillis, nowMillis);
        }
    }

    private void complete(Attempt attempt, long nowMillis) {
        PendingRequest pending = attempt.pending;
        attempt.upstream.health().onSuccess(attempt.sentAtMillis);
        if (attempt.runsAlone) {
            quarantine.onCompletedAlone(pending.request.fingerprint());
        }
        partQuarantine.onCompleted(pending.request, attempt.sentAtMillis, nowMillis);
        estimator.onCompleted(pending.request, pending.deliveredTokens);
        double outputDifferenceTokens = pending.deliveredTokens - pending.expectedOutputTokens;
        queue.charge(pending.request.account(), WorkEstimator.DECODE_WEIGHT * outputDifferenceTokens);
        finish(pending);
    }

    private List<DispatchDecision> retryAfterLoss(PendingRequest pending, long nowMillis) {
        pending.mayHaveRun = true;
        if (!pending.mayRunAgain(options.kind())) {
            return List.of(refuse(pending, DispatchDecision.Reason.UPSTREAM_LOST, nowMillis));
        }
        return retry(pending, nowMillis);
    }

    private List<DispatchDecision> retry(PendingRequest pending, long nowMillis) {
        Quarantine.Verdict verdict = verdict(pending.request, nowMillis);
        if (verdict == Quarantine.Verdict.REFUSED) {
            return List.of(refuse(pending, DispatchDecision.Reason.QUARANTINED, nowMillis));
        }
        if (pending.request.deadlineMillis() <= nowMillis) {
            return List.of(refuse(pending, DispatchDecision.Reason.DEADLINE, nowMillis));
        }
        if (!retryBudget.tryRetry()) {
            return List.of(refuse(pending, DispatchDecision.Reason.RETRY_BUDGET, nowMillis));
        }
        pendingById.put(pending.request.id(), pending);
        if (verdict == Quarantine.Verdict.SUSPECT) {
            suspectScheduler.add(pending, nowMillis);
        } else {
            retries.addLast(pending);
        }
        return List.of();
    }

    @Override
    public List<DispatchDecision> cancel(RequestId request, long nowMillis) {
        PendingRequest pending = pendingById.get(request);
        if (pending != null) {
            removeFromQueues(pending);
            finish(pending);
        }
        return processQueues(nowMillis);
    }

    private void removeFromQueues(PendingRequest pending) {
        queue.remove(pending.request.account(), pending);
        retries.remove(pending);
        suspectScheduler.remove(pending);
    }

    @Override
    public List<DispatchDecision> onLoad(UpstreamId upstream, EngineLoad load, long nowMillis) {
        fleet.find(upstream).ifPresent(state -> {
            double remoteRate = remotePrefillRate.tokensPerSecond(nowMillis);
            // Other nodes report tokens by account and not by upstream, so an equal share is assumed.
            state.setRemotePrefillTokensPerSecond(remoteRate / fleet.upstreams().size());
            state.onLoad(load, nowMillis);
            estimator.onLoad(load);
        });
        return processQueues(nowMillis);
    }

    @Override
    public void onLiveNodes(int index, int liveNodeCount) {
        router.setLiveNodes(index, liveNodeCount);
    }

    @Override
    public void onCacheEvents(UpstreamId upstream, List<PrefixIndex.Event> events) {
        events.forEach(event -> fleet.prefixes().onEvent(upstream, event));
    }

    @Override
    public List<DispatchDecision> onExclusionChanged(UpstreamId upstream, boolean excluded, long nowMillis) {
        fleet.find(upstream).ifPresent(state -> state.setExcluded(excluded));
        blockedUntilMillis = Long.MIN_VALUE;
        return processQueues(nowMillis);
    }

    @Override
    public void onRemoteServedTokens(
            AccountId account, long prefillTokens, long decodeTokens, int openRequests, long nowMillis) {
        limiter.onRemoteUsage(account, prefillTokens + decodeTokens, openRequests, nowMillis);
        queue.charge(account, prefillTokens + WorkEstimator.DECODE_WEIGHT * decodeTokens);
        remotePrefillRate.add(prefillTokens, nowMillis);
    }

    @Override
    public void onRemoteCrashSuspect(long fingerprint, int crashes, long nowMillis) {
        quarantine.onRemoteCrashes(fingerprint, crashes, nowMillis);
    }

    @Override
    public Optional<PromptPartQuarantine> promptPartQuarantine() {
        return Optional.of(partQuarantine);
    }

    @Override
    public List<DispatchDecision> onTick(long nowMillis) {
        quarantine.expire(nowMillis);
        partQuarantine.expire(nowMillis);
        return processQueues(nowMillis);
    }

    @Override
    public List<AccountServiceTotals> accountTotals() {
        return accountTotals.list();
    }

    @Override
    public List<CrashSuspectReport> crashSuspects(long nowMillis) {
        return quarantine.localCrashSuspects(nowMillis);
    }

    /**
     * Returns the number of open attempts of this node that use an upstream for prefill or decode.
     *
     * @param upstream the upstream
     * @return the number of attempts; 0 when a drain is complete at this node
     */
    public int openAttempts(UpstreamId upstream) {
        return openAttempts.count(upstream);
    }

    /**
     * Returns the number of queued requests at this node.
     *
     * @return the number, including suspects and retries
     */
    public int queuedRequests() {
        return queue.size() + retries.size() + suspectScheduler.size();
    }

    @Override
    public List<Explanation> explanations() {
        return decisionLog.entries();
    }

    private List<DispatchDecision> processQueues(long nowMillis) {
        List<DispatchDecision> decisions = new ArrayList<>();
        refuseLate(decisions, nowMillis);
        processSuspects(decisions, nowMillis);
        sendRetries(decisions, nowMillis);
        processQueue(decisions, nowMillis);
        return decisions;
    }

    private void refuseLate(List<DispatchDecision> decisions, long nowMillis) {
        for (PendingRequest late : queue.removeExpired(nowMillis)) {
            decisions.add(refuse(late, DispatchDecision.Reason.DEADLINE, nowMillis));
        }
        for (Iterator<PendingRequest> waiting = retries.iterator(); waiting.hasNext(); ) {
            PendingRequest pending = waiting.next();
            if (pending.isTooLate(nowMillis)) {
                waiting.remove();
                decisions.add(refuse(pending, DispatchDecision.Reason.DEADLINE, nowMillis));
            }
        }
    }

    private void processSuspects(List<DispatchDecision> decisions, long nowMillis) {
        for (PendingRequest pending : suspectScheduler.waiting()) {
            Quarantine.Verdict verdict = verdict(pending.request, nowMillis);
            if (verdict == Quarantine.Verdict.REFUSED || fleet.upstreams().size() < 2) {
                suspectScheduler.remove(pending);
                decisions.add(refuse(pending, DispatchDecision.Reason.QUARANTINED, nowMillis));
            } else if (pending.isTooLate(nowMillis)) {
                suspectScheduler.remove(pending);
                decisions.add(refuse(pending, DispatchDecision.Reason.DEADLINE, nowMillis));
            } else if (verdict == Quarantine.Verdict.CLEAR) {
                suspectScheduler.remove(pending);
                retries.addLast(pending);
            } else {
                sendAloneOrRefuse(pending, nowMillis).ifPresent(decisions::add);
            }
        }
    }

    private Optional<DispatchDecision> sendAloneOrRefuse(PendingRequest pending, long nowMillis) {
        Optional<UpstreamState> upstream = suspectScheduler.takeReadyUpstream(pending, fleet, nowMillis);
        if (upstream.isPresent()) {
            return Optional.of(send(pending, RoutingDecision.withoutCosts(upstream.get()), true, nowMillis));
        }
        if (!suspectScheduler.hasWaitTimedOut(pending, fleet, nowMillis)) {
            return Optional.empty();
        }
        suspectScheduler.remove(pending);
        return Optional.of(refuse(pending, DispatchDecision.Reason.NO_UPSTREAM, nowMillis));
    }

    private void sendRetries(List<DispatchDecision> decisions, long nowMillis) {
        while (!retries.isEmpty()) {
            Optional<RoutingDecision> route = router.choose(retries.peekFirst(), nowMillis);
            if (route.isEmpty()) {
                return;
            }
            decisions.add(send(retries.removeFirst(), route.get(), false, nowMillis));
        }
    }

    private void processQueue(List<DispatchDecision> decisions, long nowMillis) {
        if (nowMillis < blockedUntilMillis) {
            return;
        }
        while (sendOrRefuseNext(decisions, nowMillis)) {
            // Repeats until no request at the heads of the queue can be routed.
        }
        if (queue.size() > 0) {
            blockedUntilMillis = nowMillis + BLOCKED_PAUSE_MILLIS;
        }
    }

    /** Sends or refuses the first queued request that can be routed; a long prompt does not block a short one. */
    private boolean sendOrRefuseNext(List<DispatchDecision> decisions, long nowMillis) {
        for (PendingRequest pending : queue.heads(MAXIMUM_QUEUE_HEADS)) {
            Optional<RoutingDecision> route = router.choose(pending, nowMillis);
            if (route.isPresent()) {
                decisions.add(sendOrRefuse(pending, route.get(), nowMillis));
                return true;
            }
        }
        return false;
    }

    private DispatchDecision sendOrRefuse(PendingRequest pending, RoutingDecision route, long nowMillis) {
        double completionMillis = route.chosen().completionMillis();
        if (policy.refusesEarly() && nowMillis + completionMillis > pending.request.deadlineMillis()) {
            queue.remove(pending.request.account(), pending);
            return refuse(pending, DispatchDecision.Reason.DEADLINE, nowMillis);
        }
        queue.dequeue(pending.request.account(), pending);
        double workTokens = estimator.workTokens(pending.request.promptTokens(), pending.expectedOutputTokens);
        estimator.onDequeued(workTokens, queue.size() > 0, nowMillis);
        return send(pending, route, false, nowMillis);
    }

    private DispatchDecision send(PendingRequest pending, RoutingDecision route, boolean alone, long nowMillis) {
        RouteQuery query = router.query(pending, nowMillis);
        long uncachedTokens = Math.max(0, query.prefillTokens() - route.chosen().cachedTokens());
        AttemptId id = openAttempts.open(pending, route, query, uncachedTokens, alone, nowMillis);
        UpstreamId prefillEngine = route.prefill().orElse(route.upstream()).id();
        fleet.prefixes().onSend(prefillEngine, pending.request.prefixHashes());
        pendingById.remove(pending.request.id());
        pending.sentUncachedTokens += uncachedTokens;
        accountTotals.onPrefill(pending.request.account(), uncachedTokens);
        boolean resume = options.kind() == ServiceConfig.Kind.MODEL && pending.deliveredTokens > 0;
        long firstTokenMillis = Math.round(route.chosen().firstTokenMillis());
        DispatchDecision decision = new DispatchDecision.Dispatch(
                pending.request.id(),
                id,
                route.upstream().id(),
                resume,
                firstTokenMillis,
                route.prefill().map(UpstreamState::id));
        decisionLog.add(new Explanation(nowMillis, decision, route.candidates(), queuedRequests()));
        return decision;
    }

    private DispatchDecision refuse(PendingRequest pending, DispatchDecision.Reason reason, long nowMillis) {
        long retryAfterMillis = reason == DispatchDecision.Reason.QUARANTINED
                ? quarantine.remainingMillis(pending.request.fingerprint(), nowMillis)
                : estimatedRetryAfterMillis();
        return refuse(pending, reason, retryAfterMillis, nowMillis);
    }

    private DispatchDecision refuse(
            PendingRequest pending, DispatchDecision.Reason reason, long retryAfterMillis, long nowMillis) {
        finish(pending);
        DispatchDecision decision = new DispatchDecision.Refuse(
                pending.request.id(),
                reason,
                pending.mayHaveRun,
                Math.max(MINIMUM_RETRY_AFTER_MILLIS, retryAfterMillis));
        decisionLog.add(new Explanation(nowMillis, decision, List.of(), queuedRequests()));
        return decision;
    }

    private long estimatedRetryAfterMillis() {
        return Math.min(MAXIMUM_ESTIMATED_RETRY_AFTER_MILLIS, estimator.queueDelayMillis(queue.queuedTokens()));
    }

    private void finish(PendingRequest pending) {
        pendingById.remove(pending.request.id());
        accountTotals.onClosed(pending.request.account());
        if (pending.admitted) {
            long usedTokens = pending.sentUncachedTokens + pending.deliveredTokens;
            limiter.onEnd(pending.request.account(), pending.expectedTotalTokens(), usedTokens);
        }
    }
}
