package org.cactusshift.internal.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.retry.RetryBudget;

/** Decides about the requests of one service at one node. */
public final class ServiceDispatcher implements Dispatcher {
    private static final int RETRY_RESERVE = 50;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
    private static final int MAXIMUM_IN_FLIGHT_PER_UPSTREAM = 64;
    private static final long BACK_OFF_MILLIS = 1_000;

    private final DispatcherOptions options;
    private final RandomGenerator random;
    private final RetryBudget retryBudget;
    private final Map<UpstreamId, Upstream> upstreams = new TreeMap<>();
    private final ArrayDeque<PendingRequest> queue = new ArrayDeque<>();
    private final Map<AttemptId, Attempt> attempts = new HashMap<>();
    private final Map<AccountId, AccountTotals> totals = new LinkedHashMap<>();
    private long nextAttempt;

    private ServiceDispatcher(DispatcherOptions options, RandomGenerator random) {
        this.options = options;
        this.random = random;
        this.retryBudget = RetryBudget.create(options.retryBudgetRatio(), RETRY_RESERVE);
    }

    /**
     * Returns a dispatcher without accounts and upstreams.
     *
     * @param options what is fixed for its life
     * @param random the source of all random choices; a fixed seed makes the decisions repeatable
     * @return the dispatcher
     */
    public static ServiceDispatcher create(DispatcherOptions options, RandomGenerator random) {
        return new ServiceDispatcher(
                Objects.requireNonNull(options, "options"), Objects.requireNonNull(random, "random"));
    }

    @Override
    public List<DispatchDecision> onConfig(
            List<AccountConfig> accounts, List<UpstreamConfig> newUpstreams, long nowMillis) {
        Map<UpstreamId, Upstream> kept = new TreeMap<>();
        for (UpstreamConfig config : newUpstreams) {
            Upstream upstream = upstreams.getOrDefault(config.id(), new Upstream(config.id()));
            upstream.draining = config.draining();
            kept.put(config.id(), upstream);
        }
        upstreams.clear();
        upstreams.putAll(kept);
        return pump(nowMillis);
    }

    @Override
    public List<DispatchDecision> submit(DispatchRequest request, long nowMillis) {
        retryBudget.onRequest();
        PendingRequest pending = new PendingRequest(request, nowMillis);
        totalsOf(request.account()).requestsInFlight++;
        if (request.deadlineMillis() <= nowMillis) {
            return List.of(refuse(pending, DispatchDecision.Reason.DEADLINE));
        }
        if (upstreams.isEmpty()) {
            return List.of(refuse(pending, DispatchDecision.Reason.NO_UPSTREAM));
        }
        if (queue.size() >= options.maximumQueuedRequests()) {
            return List.of(refuse(pending, DispatchDecision.Reason.QUEUE_FULL));
        }
        queue.addLast(pending);
        return pump(nowMillis);
    }

    @Override
    public void onProgress(AttemptId attempt, int outputTokens, long nowMillis) {
        Attempt known = attempts.get(attempt);
        if (known != null) {
            known.pending.deliveredTokens += outputTokens;
            known.progressTokens += outputTokens;
            totalsOf(known.pending.request.account()).decodeTokens += outputTokens;
        }
    }

    @Override
    public List<DispatchDecision> onAttemptEnd(AttemptId attempt, AttemptEnd end, long nowMillis) {
        Attempt known = attempts.remove(attempt);
        if (known == null) {
            return List.of();
        }
        known.upstream.inFlight--;
        long missedTokens = Math.max(0, end.outputTokens() - known.progressTokens);
        known.pending.deliveredTokens += missedTokens;
        totalsOf(known.pending.request.account()).decodeTokens += missedTokens;
        List<DispatchDecision> decisions = new ArrayList<>(settle(known, end.outcome(), nowMillis));
        decisions.addAll(pump(nowMillis));
        return decisions;
    }

    private List<DispatchDecision> settle(Attempt attempt, AttemptEnd.Outcome outcome, long nowMillis) {
        PendingRequest pending = attempt.pending;
        switch (outcome) {
            case COMPLETED:
                attempt.upstream.onSuccess();
                close(pending);
                return List.of();
            case CANCELLED:
                close(pending);
                return List.of();
            case NOT_RUN:
                return retry(pending, nowMillis);
            case NOT_SENT:
                attempt.upstream.backOff(nowMillis, random);
                return retry(pending, nowMillis);
            case CRASHED:
            case SILENT:
                attempt.upstream.backOff(nowMillis, random);
                pending.mayHaveRun = true;
                return retryAfterLoss(pending, nowMillis);
            default:
                throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    private List<DispatchDecision> retryAfterLoss(PendingRequest pending, long nowMillis) {
        boolean resumable = options.kind() == ServiceConfig.Kind.MODEL || pending.deliveredTokens == 0;
        if (!pending.request.repeatable() || !resumable) {
            return List.of(refuse(pending, DispatchDecision.Reason.UPSTREAM_LOST));
        }
        return retry(pending, nowMillis);
    }

    private List<DispatchDecision> retry(PendingRequest pending, long nowMillis) {
        if (pending.request.deadlineMillis() <= nowMillis) {
            return List.of(refuse(pending, DispatchDecision.Reason.DEADLINE));
        }
        if (!retryBudget.tryRetry()) {
            return List.of(refuse(pending, DispatchDecision.Reason.RETRY_BUDGET));
        }
        queue.addFirst(pending);
        return List.of();
    }

    @Override
    public List<DispatchDecision> cancel(RequestId request, long nowMillis) {
        queue.stream()
                .filter(pending -> pending.request.id().equals(request))
                .findFirst()
                .ifPresent(pending -> {
                    queue.remove(pending);
                    close(pending);
                });
        return pump(nowMillis);
    }

    @Override
    public List<DispatchDecision> onLoad(UpstreamId upstream, EngineLoad load, long nowMillis) {
        Upstream known = upstreams.get(upstream);
        if (known != null) {
            known.changing = load.changing();
        }
        return pump(nowMillis);
    }

    @Override
    public List<DispatchDecision> onLeaving(UpstreamId upstream, boolean leaving, long nowMillis) {
        Upstream known = upstreams.get(upstream);
        if (known != null) {
            known.leaving = leaving;
        }
        return pump(nowMillis);
    }

    @Override
    public void onRemoteService(
            AccountId account, long prefillTokens, long decodeTokens, int requestsInFlight, long nowMillis) {
        // First in, first out takes no account of what other nodes served.
    }

    @Override
    public void onRemoteSuspect(long fingerprint, int crashes, long nowMillis) {
        // No request is refused for its fingerprint yet.
    }

    @Override
    public List<DispatchDecision> onTime(long nowMillis) {
        return pump(nowMillis);
    }

    /**
     * Returns what each account received from this node, for the summaries that nodes exchange.
     *
     * @return the totals since the dispatcher was created
     */
    public List<AccountServiceTotals> serviceSinceStart() {
        return totals.entrySet().stream()
                .map(entry -> entry.getValue().toRecord(entry.getKey()))
                .toList();
    }

    /**
     * Returns the attempts of this node that are at an upstream.
     *
     * @param upstream the upstream
     * @return the number of attempts; 0 when a drain is over at this node
     */
    public int inFlight(UpstreamId upstream) {
        return (int) attempts.values().stream()
                .filter(attempt -> attempt.upstream.id.equals(upstream))
                .count();
    }

    private List<DispatchDecision> pump(long nowMillis) {
        List<DispatchDecision> decisions = new ArrayList<>(expire(nowMillis));
        while (!queue.isEmpty()) {
            Optional<Upstream> choice = leastOutstanding(nowMillis);
            if (choice.isEmpty()) {
                break;
            }
            decisions.add(dispatch(queue.removeFirst(), choice.get()));
        }
        return decisions;
    }

    private List<DispatchDecision> expire(long nowMillis) {
        List<DispatchDecision> decisions = new ArrayList<>();
        for (Iterator<PendingRequest> waiting = queue.iterator(); waiting.hasNext(); ) {
            PendingRequest pending = waiting.next();
            if (pending.request.deadlineMillis() <= nowMillis) {
                waiting.remove();
                decisions.add(refuse(pending, DispatchDecision.Reason.DEADLINE));
            }
        }
        return decisions;
    }

    private Optional<Upstream> leastOutstanding(long nowMillis) {
        return upstreams.values().stream()
                .filter(upstream -> upstream.takesWork(nowMillis))
                .min(Comparator.comparingInt(upstream -> upstream.inFlight));
    }

    private DispatchDecision dispatch(PendingRequest pending, Upstream upstream) {
        AttemptId id = AttemptId.fromString(options.incarnation().value() + "-" + Long.toString(nextAttempt++, 36));
        upstream.inFlight++;
        attempts.put(id, new Attempt(pending, upstream));
        totalsOf(pending.request.account()).prefillTokens += pending.request.promptTokens();
        boolean resume = options.kind() == ServiceConfig.Kind.MODEL && pending.deliveredTokens > 0;
        return new DispatchDecision.Dispatch(pending.request.id(), id, upstream.id, resume, 0);
    }

    private DispatchDecision refuse(PendingRequest pending, DispatchDecision.Reason reason) {
        close(pending);
        return new DispatchDecision.Refuse(
                pending.request.id(), reason, pending.mayHaveRun, DEFAULT_RETRY_AFTER_MILLIS);
    }

    private void close(PendingRequest pending) {
        totalsOf(pending.request.account()).requestsInFlight--;
    }

    private AccountTotals totalsOf(AccountId account) {
        return totals.computeIfAbsent(account, id -> new AccountTotals());
    }

    private static final class Attempt {
        final PendingRequest pending;
        final Upstream upstream;
        long progressTokens;

        Attempt(PendingRequest pending, Upstream upstream) {
            this.pending = pending;
            this.upstream = upstream;
        }
    }

    private static final class AccountTotals {
        long prefillTokens;
        long decodeTokens;
        int requestsInFlight;

        AccountServiceTotals toRecord(AccountId account) {
            return new AccountServiceTotals(account, prefillTokens, decodeTokens, requestsInFlight);
        }
    }

    private static final class Upstream {
        final UpstreamId id;
        int inFlight;
        boolean draining;
        boolean leaving;
        boolean changing;
        int failures;
        long notBeforeMillis = Long.MIN_VALUE;

        Upstream(UpstreamId id) {
            this.id = id;
        }

        boolean takesWork(long nowMillis) {
            boolean open = !draining && !leaving && !changing && nowMillis >= notBeforeMillis;
            return open && inFlight < MAXIMUM_IN_FLIGHT_PER_UPSTREAM;
        }

        void onSuccess() {
            failures = 0;
        }

        void backOff(long nowMillis, RandomGenerator random) {
            failures = Math.min(failures + 1, 5);
            long delayMillis = BACK_OFF_MILLIS << (failures - 1);
            notBeforeMillis = nowMillis + delayMillis / 2 + random.nextLong(delayMillis / 2);
        }
    }
}
