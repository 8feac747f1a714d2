package org.cactusshift.internal.transport.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.Dispatcher;
import org.cactusshift.internal.coordination.dispatch.EngineLoad;
import org.cactusshift.internal.coordination.routing.PrefixIndex;

/**
 * Dispatches a request to the first upstream, and after a failed attempt to the next. Refuses when no upstream is left,
 * or when a non-repeatable request may have run.
 */
final class FakeDispatcher implements Dispatcher {
    private final List<UpstreamId> upstreams = new ArrayList<>();
    private final Set<UpstreamId> excluded = ConcurrentHashMap.newKeySet();
    private final Map<RequestId, DispatchRequest> requests = new HashMap<>();
    private final Map<RequestId, Integer> attemptCountByRequest = new HashMap<>();
    private final Map<RequestId, Boolean> requestsThatMayHaveRun = new HashMap<>();
    final List<AttemptEnd> attemptEnds = new CopyOnWriteArrayList<>();
    final List<DispatchRequest> submitted = new CopyOnWriteArrayList<>();
    final List<EngineLoad> loads = new CopyOnWriteArrayList<>();
    final List<PrefixIndex.Event> cacheEvents = new CopyOnWriteArrayList<>();
    int progressTokens;
    /** Whether each request is assigned the last upstream as its prefill engine. */
    volatile boolean lastIsPrefillEngine;

    @Override
    public List<DispatchDecision> onConfig(List<AccountConfig> accounts, List<UpstreamConfig> configs, long nowMillis) {
        upstreams.clear();
        configs.forEach(config -> upstreams.add(config.id()));
        return List.of();
    }

    @Override
    public List<DispatchDecision> submit(DispatchRequest request, long nowMillis) {
        submitted.add(request);
        requests.put(request.id(), request);
        return next(request.id(), nowMillis);
    }

    boolean hasExcludedUpstream() {
        return !excluded.isEmpty();
    }

    private List<DispatchDecision> next(RequestId request, long nowMillis) {
        int number = attemptCountByRequest.merge(request, 1, Integer::sum);
        List<UpstreamId> usable =
                upstreams.stream().filter(id -> !excluded.contains(id)).toList();
        boolean mayHaveRun = requestsThatMayHaveRun.getOrDefault(request, false);
        if (number > usable.size()) {
            DispatchDecision.Reason reason =
                    mayHaveRun ? DispatchDecision.Reason.UPSTREAM_LOST : DispatchDecision.Reason.NO_UPSTREAM;
            // Retry after 1500 ms, which the Retry-After header rounds up to 2 s.
            return List.of(new DispatchDecision.Refuse(request, reason, mayHaveRun, 1500));
        }
        AttemptId attempt = AttemptId.fromString(request.value() + ":" + number);
        Optional<UpstreamId> prefill =
                lastIsPrefillEngine ? Optional.of(usable.get(usable.size() - 1)) : Optional.empty();
        return List.of(new DispatchDecision.Dispatch(request, attempt, usable.get(number - 1), number > 1, 0, prefill));
    }

    @Override
    public void onProgress(AttemptId attempt, int outputTokens, long nowMillis) {
        progressTokens += outputTokens;
    }

    @Override
    public List<DispatchDecision> onAttemptEnd(AttemptId attempt, AttemptEnd end, long nowMillis) {
        attemptEnds.add(end);
        String text = attempt.value();
        RequestId request = RequestId.fromString(text.substring(0, text.lastIndexOf(':')));
        boolean unsent = end.outcome() == AttemptEnd.Outcome.NOT_RUN || end.outcome() == AttemptEnd.Outcome.NOT_SENT;
        if (end.outcome() == AttemptEnd.Outcome.COMPLETED || end.outcome() == AttemptEnd.Outcome.CANCELLED) {
            return List.of();
        }
        if (!unsent) {
            requestsThatMayHaveRun.put(request, true);
        }
        if (!unsent && !requests.get(request).repeatable()) {
            return List.of(new DispatchDecision.Refuse(request, DispatchDecision.Reason.UPSTREAM_LOST, true, 0));
        }
        return next(request, nowMillis);
    }

    /** Gives up a silent attempt as if a replacement had been granted, which may then be refused. */
    @Override
    public List<DispatchDecision> replaceSilent(AttemptId attempt, AttemptEnd end, long nowMillis) {
        return onAttemptEnd(attempt, end, nowMillis);
    }

    @Override
    public List<DispatchDecision> cancel(RequestId request, long nowMillis) {
        return List.of();
    }

    @Override
    public List<DispatchDecision> onLoad(UpstreamId upstream, EngineLoad load, long nowMillis) {
        loads.add(load);
        return List.of();
    }

    @Override
    public List<DispatchDecision> onExclusionChanged(UpstreamId upstream, boolean isExcluded, long nowMillis) {
        if (isExcluded) {
            excluded.add(upstream);
        } else {
            excluded.remove(upstream);
        }
        return List.of();
    }

    @Override
    public void onRemoteServedTokens(
            AccountId account, long prefillTokens, long decodeTokens, int requestsInFlight, long nowMillis) {}

    @Override
    public void onRemoteCrashSuspect(long fingerprint, int crashes, long nowMillis) {}

    @Override
    public void onCacheEvents(UpstreamId upstream, List<PrefixIndex.Event> events) {
        cacheEvents.addAll(events);
    }

    @Override
    public List<DispatchDecision> onTick(long nowMillis) {
        return List.of();
    }
}
