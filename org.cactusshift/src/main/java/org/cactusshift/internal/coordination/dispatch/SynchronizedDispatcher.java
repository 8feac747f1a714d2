package org.cactusshift.internal.coordination.dispatch;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.CrashReports;
import org.cactusshift.internal.coordination.quarantine.CrashSuspectReport;
import org.cactusshift.internal.coordination.routing.PrefixIndex;

/**
 * Calls the dispatcher of one service under a lock. Keeps its open tickets and attempts, and the causes for which its
 * upstreams are excluded.
 */
final class SynchronizedDispatcher {
    private static final AttemptEnd CANCELLED_END = new AttemptEnd(AttemptEnd.Outcome.CANCELLED, 0, 0);

    private record OpenAttempt(RequestId request, UpstreamId upstream, Optional<UpstreamId> prefillEngine) {
        boolean uses(UpstreamId id) {
            return upstream.equals(id) || prefillEngine.filter(id::equals).isPresent();
        }
    }

    private final Dispatcher dispatcher;
    private final LongSupplier clockMillis;
    private final Map<RequestId, DispatchTicket> ticketByRequest = new HashMap<>();
    private final Map<AttemptId, OpenAttempt> openAttemptById = new HashMap<>();
    private final Map<UpstreamId, Set<ExclusionCause>> exclusionCausesByUpstream = new HashMap<>();

    SynchronizedDispatcher(Dispatcher dispatcher, LongSupplier clockMillis) {
        this.dispatcher = dispatcher;
        this.clockMillis = clockMillis;
    }

    synchronized void install(List<AccountConfig> accounts, List<UpstreamConfig> upstreams) {
        deliver(dispatcher.onConfig(accounts, upstreams, clockMillis.getAsLong()));
        exclusionCausesByUpstream
                .keySet()
                .removeIf(id ->
                        upstreams.stream().noneMatch(upstream -> upstream.id().equals(id)));
        // A dispatcher may rebuild its upstreams from the configuration, so it is notified of the exclusions again.
        for (UpstreamId upstream : exclusionCausesByUpstream.keySet()) {
            deliver(dispatcher.onExclusionChanged(
                    upstream, !exclusionCausesByUpstream.get(upstream).isEmpty(), clockMillis.getAsLong()));
        }
    }

    synchronized DispatchTicket submit(DispatchRequest request) {
        DispatchTicket ticket = new DispatchTicket(request.id(), this);
        ticketByRequest.put(request.id(), ticket);
        deliver(dispatcher.submit(request, clockMillis.getAsLong()));
        return ticket;
    }

    synchronized void onProgress(AttemptId attempt, int outputTokens) {
        dispatcher.onProgress(attempt, outputTokens, clockMillis.getAsLong());
    }

    synchronized void onAttemptEnd(AttemptId attempt, AttemptEnd end) {
        OpenAttempt open = openAttemptById.remove(attempt);
        if (open == null) {
            return;
        }
        if (endsRequest(end.outcome())) {
            ticketByRequest.remove(open.request());
        }
        deliver(dispatcher.onAttemptEnd(attempt, end, clockMillis.getAsLong()));
    }

    synchronized boolean replaceSilent(AttemptId attempt, AttemptEnd end) {
        if (!openAttemptById.containsKey(attempt)) {
            return false;
        }
        List<DispatchDecision> decisions = dispatcher.replaceSilent(attempt, end, clockMillis.getAsLong());
        if (decisions.isEmpty()) {
            return false;
        }
        openAttemptById.remove(attempt);
        deliver(decisions);
        return true;
    }

    private static boolean endsRequest(AttemptEnd.Outcome outcome) {
        return outcome == AttemptEnd.Outcome.COMPLETED || outcome == AttemptEnd.Outcome.CANCELLED;
    }

    synchronized void close(DispatchTicket ticket) {
        if (ticketByRequest.remove(ticket.request()) == null) {
            return;
        }
        List<AttemptId> open = openAttemptById.entrySet().stream()
                .filter(entry -> entry.getValue().request().equals(ticket.request()))
                .map(Map.Entry::getKey)
                .toList();
        if (open.isEmpty()) {
            deliver(dispatcher.cancel(ticket.request(), clockMillis.getAsLong()));
        }
        open.forEach(attempt -> onAttemptEnd(attempt, CANCELLED_END));
    }

    synchronized void onLoad(UpstreamId upstream, EngineLoad load) {
        deliver(dispatcher.onLoad(upstream, load, clockMillis.getAsLong()));
    }

    synchronized void setExcluded(UpstreamId upstream, ExclusionCause cause, boolean excluded) {
        Set<ExclusionCause> causes =
                exclusionCausesByUpstream.computeIfAbsent(upstream, id -> EnumSet.noneOf(ExclusionCause.class));
        boolean wasExcluded = !causes.isEmpty();
        if (excluded) {
            causes.add(cause);
        } else {
            causes.remove(cause);
        }
        boolean isExcluded = !causes.isEmpty();
        if (wasExcluded != isExcluded) {
            deliver(dispatcher.onExclusionChanged(upstream, isExcluded, clockMillis.getAsLong()));
        }
    }

    synchronized void onRemoteServedTokens(AccountId account, long prefillTokens, long decodeTokens, int openRequests) {
        dispatcher.onRemoteServedTokens(account, prefillTokens, decodeTokens, openRequests, clockMillis.getAsLong());
    }

    synchronized void onRemoteCrashSuspect(long fingerprint, int crashes) {
        dispatcher.onRemoteCrashSuspect(fingerprint, crashes, clockMillis.getAsLong());
    }

    synchronized void onRemotePartReports(CrashReports reports) {
        dispatcher
                .promptPartQuarantine()
                .ifPresent(quarantine -> quarantine.onReports(reports, clockMillis.getAsLong()));
    }

    synchronized void onTick() {
        deliver(dispatcher.onTick(clockMillis.getAsLong()));
    }

    synchronized int openAttempts(UpstreamId upstream) {
        return (int) openAttemptById.values().stream()
                .filter(attempt -> attempt.uses(upstream))
                .count();
    }

    synchronized int openRequests() {
        return ticketByRequest.size();
    }

    synchronized void onLiveNodes(int index, int nodes) {
        dispatcher.onLiveNodes(index, nodes);
    }

    synchronized void onCacheEvents(UpstreamId upstream, List<PrefixIndex.Event> events) {
        dispatcher.onCacheEvents(upstream, events);
    }

    synchronized List<AccountServiceTotals> accountTotals() {
        return dispatcher.accountTotals();
    }

    synchronized List<CrashSuspectReport> crashSuspects() {
        return dispatcher.crashSuspects(clockMillis.getAsLong());
    }

    synchronized CrashReports partReports() {
        return dispatcher
                .promptPartQuarantine()
                .map(quarantine -> quarantine.reports(clockMillis.getAsLong()))
                .orElse(CrashReports.NONE);
    }

    synchronized List<Explanation> explanations() {
        return dispatcher.explanations();
    }

    private void deliver(List<DispatchDecision> decisions) {
        for (DispatchDecision decision : decisions) {
            DispatchTicket ticket = ticketByRequest.get(decision.request());
            if (decision instanceof DispatchDecision.Dispatch dispatch) {
                deliverDispatch(ticket, dispatch);
            } else if (ticket != null) {
                ticketByRequest.remove(decision.request());
                ticket.put(decision);
            }
        }
    }

    private void deliverDispatch(DispatchTicket ticket, DispatchDecision.Dispatch dispatch) {
        openAttemptById.put(
                dispatch.attempt(), new OpenAttempt(dispatch.request(), dispatch.upstream(), dispatch.prefill()));
        if (ticket == null) {
            // The caller closed the ticket while the decision was made.
            onAttemptEnd(dispatch.attempt(), CANCELLED_END);
        } else {
            ticket.put(dispatch);
        }
    }
}
