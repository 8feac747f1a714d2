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
import org.cactusshift.internal.coordination.quarantine.SuspectReport;
import org.cactusshift.internal.coordination.routing.PrefixIndex;

/** The dispatcher of one service with its lock, its open tickets and its open attempts. */
final class ServiceDispatch {
    private static final AttemptEnd ABANDONED = new AttemptEnd(AttemptEnd.Outcome.CANCELLED, 0, 0);

    private record OpenAttempt(RequestId request, UpstreamId upstream, Optional<UpstreamId> prefillEngine) {
        boolean uses(UpstreamId id) {
            return upstream.equals(id) || prefillEngine.filter(id::equals).isPresent();
        }
    }

    private final Dispatcher dispatcher;
    private final LongSupplier clockMillis;
    private final Map<RequestId, DispatchTicket> tickets = new HashMap<>();
    private final Map<AttemptId, OpenAttempt> attempts = new HashMap<>();
    private final Map<UpstreamId, Set<ExclusionCause>> exclusionCausesByUpstream = new HashMap<>();

    ServiceDispatch(Dispatcher dispatcher, LongSupplier clockMillis) {
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
        tickets.put(request.id(), ticket);
        deliver(dispatcher.submit(request, clockMillis.getAsLong()));
        return ticket;
    }

    synchronized void onProgress(AttemptId attempt, int outputTokens) {
        dispatcher.onProgress(attempt, outputTokens, clockMillis.getAsLong());
    }

    synchronized void onAttemptEnd(AttemptId attempt, AttemptEnd end) {
        OpenAttempt open = attempts.remove(attempt);
        if (open == null) {
            return;
        }
        if (isFinal(end.outcome())) {
            tickets.remove(open.request());
        }
        deliver(dispatcher.onAttemptEnd(attempt, end, clockMillis.getAsLong()));
    }

    private static boolean isFinal(AttemptEnd.Outcome outcome) {
        return outcome == AttemptEnd.Outcome.COMPLETED || outcome == AttemptEnd.Outcome.CANCELLED;
    }

    synchronized void close(DispatchTicket ticket) {
        if (tickets.remove(ticket.request()) == null) {
            return;
        }
        List<AttemptId> open = attempts.entrySet().stream()
                .filter(entry -> entry.getValue().request().equals(ticket.request()))
                .map(Map.Entry::getKey)
                .toList();
        if (open.isEmpty()) {
            deliver(dispatcher.cancel(ticket.request(), clockMillis.getAsLong()));
        }
        open.forEach(attempt -> onAttemptEnd(attempt, ABANDONED));
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

    synchronized void onRemoteServedTokens(AccountId account, long prefillTokens, long decodeTokens, int inFlight) {
        dispatcher.onRemoteTotals(account, prefillTokens, decodeTokens, inFlight, clockMillis.getAsLong());
    }

    synchronized void onRemoteSuspect(long fingerprint, int crashes) {
        dispatcher.onRemoteSuspect(fingerprint, crashes, clockMillis.getAsLong());
    }

    synchronized void onTick() {
        deliver(dispatcher.onTick(clockMillis.getAsLong()));
    }

    synchronized int openAttempts(UpstreamId upstream) {
        return (int) attempts.values().stream()
                .filter(attempt -> attempt.uses(upstream))
                .count();
    }

    synchronized int openRequests() {
        return tickets.size();
    }

    synchronized void onPeers(int index, int nodes) {
        dispatcher.onLiveNodes(index, nodes);
    }

    synchronized void onCacheEvents(UpstreamId upstream, List<PrefixIndex.Event> events) {
        dispatcher.onCacheEvents(upstream, events);
    }

    synchronized List<AccountServiceTotals> servedTotals() {
        return dispatcher.accountTotals();
    }

    synchronized List<SuspectReport> suspects() {
        return dispatcher.suspects(clockMillis.getAsLong());
    }

    synchronized List<Explanation> explain() {
        return dispatcher.explanations();
    }

    private void deliver(List<DispatchDecision> decisions) {
        for (DispatchDecision decision : decisions) {
            DispatchTicket ticket = tickets.get(decision.request());
            if (decision instanceof DispatchDecision.Dispatch dispatch) {
                deliverDispatch(ticket, dispatch);
            } else if (ticket != null) {
                tickets.remove(decision.request());
                ticket.put(decision);
            }
        }
    }

    private void deliverDispatch(DispatchTicket ticket, DispatchDecision.Dispatch dispatch) {
        attempts.put(dispatch.attempt(), new OpenAttempt(dispatch.request(), dispatch.upstream(), dispatch.prefill()));
        if (ticket == null) {
            // The caller closed the ticket while the decision was made.
            onAttemptEnd(dispatch.attempt(), ABANDONED);
        } else {
            ticket.put(dispatch);
        }
    }
}
