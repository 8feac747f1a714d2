package org.cactusshift.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;
import org.cactusshift.internal.coordination.dispatch.DispatchPolicy;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.DispatcherOptions;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;
import org.cactusshift.internal.coordination.routing.UpstreamState;

/** One entry instance: a dispatcher for each service, and what carries out its decisions. */
final class SimulatedNode {
    private static final int MAXIMUM_QUEUED_REQUESTS = 500;
    private static final double RETRY_BUDGET_RATIO = 0.2;
    private static final double NETWORK_DELAY_MILLIS = 2;
    private static final double TRANSFER_TOKENS_PER_SECOND = 100_000;

    private final EventQueue events;
    private final SimulatedFleet fleet;
    private final Map<String, ServiceDispatcher> dispatchers = new LinkedHashMap<>();
    private final Map<String, ReplayedRequest> calls = new HashMap<>();
    private final Map<AttemptId, SimulatedAttempt> jobs = new HashMap<>();
    private final Map<String, AttemptId> currentAttempts = new HashMap<>();

    /** Builds the dispatch policy of a service. */
    interface PolicyFactory {
        DispatchPolicy create();
    }

    SimulatedNode(
            int index,
            int nodes,
            List<TraceService> services,
            PolicyFactory policy,
            EventQueue events,
            SimulatedFleet fleet) {
        this.events = Objects.requireNonNull(events);
        this.fleet = Objects.requireNonNull(fleet);
        for (TraceService service : services) {
            DispatcherOptions options = new DispatcherOptions(
                    IncarnationId.fromString("n" + index + "-" + service.id()),
                    service.kind(),
                    MAXIMUM_QUEUED_REQUESTS,
                    RETRY_BUDGET_RATIO);
            long seed = 31L * index + service.id().hashCode();
            ServiceDispatcher dispatcher = ServiceDispatcher.create(options, policy.create(), new Random(seed));
            dispatcher.onLiveNodes(index, nodes);
            dispatchers.put(service.id(), dispatcher);
        }
    }

    Map<String, ServiceDispatcher> dispatchers() {
        return dispatchers;
    }

    void installConfig(List<AccountConfig> accounts, List<UpstreamConfig> upstreams) {
        dispatchers.forEach((service, dispatcher) -> {
            List<UpstreamConfig> own = upstreams.stream()
                    .filter(upstream -> upstream.service().value().equals(service))
                    .toList();
            applyDecisions(service, dispatcher.onConfig(accounts, own, events.nowMillis()));
        });
    }

    void submit(ReplayedRequest call, boolean knowsLength) {
        TraceEvent.Request request = call.traceRequest;
        calls.put(request.id(), call);
        boolean model = request.serviceMillis() == 0;
        DispatchRequest dispatchRequest = new DispatchRequest(
                RequestId.fromString(request.id()),
                AccountId.fromString(request.account()),
                ServiceId.fromString(request.service()),
                request.promptTokens(),
                knowsLength ? request.outputTokens() : request.maximumOutputTokens(),
                model ? prefixHashes(request) : List.of(),
                call.deadlineMillis(),
                request.repeatable(),
                request.fingerprint());
        ServiceDispatcher dispatcher = dispatchers.get(request.service());
        applyDecisions(request.service(), dispatcher.submit(dispatchRequest, events.nowMillis()));
        events.atMillis(call.deadlineMillis(), () -> onDeadline(call));
    }

    static List<Long> prefixHashes(TraceEvent.Request request) {
        List<Long> hashes = new ArrayList<>();
        long pieces = request.promptTokens() / UpstreamState.BLOCK_TOKENS;
        for (int i = 0; i < pieces; i++) {
            String owner = i < request.sharedPieces() ? request.prefix() : request.id();
            hashes.add(owner.hashCode() * 0x9E3779B97F4A7C15L + i * 0xBF58476D1CE4E5B9L);
        }
        return hashes;
    }

    private void onDeadline(ReplayedRequest call) {
        if (call.ended) {
            return;
        }
        call.ended = true;
        AttemptId attempt = currentAttempts.get(call.traceRequest.id());
        String service = call.traceRequest.service();
        ServiceDispatcher dispatcher = dispatchers.get(service);
        if (attempt == null) {
            RequestId id = RequestId.fromString(call.traceRequest.id());
            applyDecisions(service, dispatcher.cancel(id, events.nowMillis()));
            return;
        }
        SimulatedAttempt job = jobs.remove(attempt);
        currentAttempts.remove(call.traceRequest.id());
        fleet.cancel(job);
        AttemptEnd end = new AttemptEnd(AttemptEnd.Outcome.CANCELLED, 0, 0);
        applyDecisions(service, dispatcher.onAttemptEnd(attempt, end, events.nowMillis()));
    }

    void applyDecisions(String service, List<DispatchDecision> decisions) {
        for (DispatchDecision decision : decisions) {
            ReplayedRequest call = calls.get(decision.request().value());
            if (decision instanceof DispatchDecision.Dispatch) {
                send(service, call, (DispatchDecision.Dispatch) decision);
            } else {
                call.ended = true;
                call.refusal = Optional.of(((DispatchDecision.Refuse) decision).reason());
            }
        }
    }

    private void send(String service, ReplayedRequest call, DispatchDecision.Dispatch dispatch) {
        call.attempts++;
        SimulatedAttempt job = new SimulatedAttempt(
                call.traceRequest,
                prefixHashesFor(service, call),
                call.deliveredTokens,
                listener(service, call, dispatch));
        jobs.put(dispatch.attempt(), job);
        currentAttempts.put(call.traceRequest.id(), dispatch.attempt());
        if (dispatch.prefill().isPresent()) {
            sendToPrefill(service, call, job, dispatch);
        } else {
            events.afterMillis(NETWORK_DELAY_MILLIS, () -> arrive(call, job, dispatch.upstream()));
        }
    }

    private List<Long> prefixHashesFor(String service, ReplayedRequest call) {
        return isModel(service) ? prefixHashes(call.traceRequest) : List.of();
    }

    private boolean isModel(String service) {
        return fleet.kind(service) == ServiceConfig.Kind.MODEL;
    }

    private void sendToPrefill(
            String service, ReplayedRequest call, SimulatedAttempt job, DispatchDecision.Dispatch dispatch) {
        SimulatedAttempt.Listener listener = new SimulatedAttempt.Listener() {
            @Override
            public void onTokens(long outputTokens) {
                // A prefill engine hands over the KV cache, no tokens.
            }

            @Override
            public void onEnd(AttemptEnd.Outcome outcome) {
                boolean handedOver = outcome == AttemptEnd.Outcome.COMPLETED;
                double transferMillis = handedOver ? job.promptTokens * 1_000 / TRANSFER_TOKENS_PER_SECOND : 0;
                job.remainingPrefillTokens = handedOver ? 0 : job.promptTokens;
                events.afterMillis(NETWORK_DELAY_MILLIS + transferMillis, () -> arrive(call, job, dispatch.upstream()));
            }
        };
        SimulatedAttempt prefill =
                new SimulatedAttempt(call.traceRequest, prefixHashesFor(service, call), call.deliveredTokens, listener);
        prefill.prefillOnly = true;
        events.afterMillis(
                NETWORK_DELAY_MILLIS,
                () -> arrive(call, prefill, dispatch.prefill().orElseThrow()));
    }

    private void arrive(ReplayedRequest call, SimulatedAttempt job, UpstreamId upstream) {
        if (call.ended) {
            return;
        }
        SimulatedUpstream target = fleet.find(upstream.value());
        if (!target.isDown() && !job.prefillOnly) {
            call.runs++;
            call.ranOnReclaimable = target.declaration().reclaimable();
        }
        fleet.accept(target, job);
    }

    private SimulatedAttempt.Listener listener(
            String service, ReplayedRequest call, DispatchDecision.Dispatch dispatch) {
        ServiceDispatcher dispatcher = dispatchers.get(service);
        return new SimulatedAttempt.Listener() {
            @Override
            public void onTokens(long outputTokens) {
                if (call.firstTokenAtMillis < 0) {
                    call.firstTokenAtMillis = events.nowMillis();
                }
                call.deliveredTokens += outputTokens;
                dispatcher.onProgress(dispatch.attempt(), (int) outputTokens, events.nowMillis());
            }

            @Override
            public void onEnd(AttemptEnd.Outcome outcome) {
                events.afterMillis(NETWORK_DELAY_MILLIS, () -> finish(service, call, dispatch, outcome));
            }
        };
    }

    private void finish(
            String service, ReplayedRequest call, DispatchDecision.Dispatch dispatch, AttemptEnd.Outcome outcome) {
        if (jobs.remove(dispatch.attempt()) == null) {
            return;
        }
        currentAttempts.remove(call.traceRequest.id());
        if (outcome == AttemptEnd.Outcome.COMPLETED) {
            call.ended = true;
            call.completed = true;
            call.completedInTime = events.nowMillis() <= call.deadlineMillis();
        }
        if (outcome == AttemptEnd.Outcome.CRASHED && call.ranOnReclaimable && !call.traceRequest.repeatable()) {
            call.lostToReclaim = true;
        }
        AttemptEnd end = new AttemptEnd(outcome, call.traceRequest.promptTokens(), 0);
        applyDecisions(service, dispatchers.get(service).onAttemptEnd(dispatch.attempt(), end, events.nowMillis()));
    }
}
