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

/** Simulates a node: runs one dispatcher for each service and applies its decisions. */
final class SimulatedNode {
    /** The maximum number of requests of one service that are queued at this node. */
    private static final int MAXIMUM_QUEUED_REQUESTS = 500;
    /** The maximum share of retries in the requests of a service at this node. */
    private static final double RETRY_BUDGET_RATIO = 0.2;
    /** The delay of one message between a node and an upstream, one way. */
    private static final double NETWORK_DELAY_MILLIS = 2;
    /** The rate at which a KV cache is copied from a prefill engine to a decode engine. */
    private static final double KV_TRANSFER_TOKENS_PER_SECOND = 100_000;

    private final EventQueue events;
    private final SimulatedFleet fleet;
    private final Map<String, ServiceDispatcher> dispatchers = new LinkedHashMap<>();
    private final Map<String, ReplayedRequest> replayedById = new HashMap<>();
    private final Map<AttemptId, SimulatedAttempt> attemptsById = new HashMap<>();
    private final Map<String, AttemptId> currentAttemptIdsByRequest = new HashMap<>();

    /** Creates a dispatch policy; called once for each service. */
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

    /**
     * Submits a request to its dispatcher.
     *
     * @param outputLengthKnown whether the dispatcher gets the true output length instead of the caller's limit
     */
    void submit(ReplayedRequest replayed, boolean outputLengthKnown) {
        TraceEvent.Request request = replayed.traceRequest;
        replayedById.put(request.id(), replayed);
        boolean isModel = request.serviceMillis() == 0;
        DispatchRequest dispatchRequest = new DispatchRequest(
                RequestId.fromString(request.id()),
                AccountId.fromString(request.account()),
                ServiceId.fromString(request.service()),
                request.promptTokens(),
                outputLengthKnown ? request.outputTokens() : request.maximumOutputTokens(),
                isModel ? prefixHashes(request) : List.of(),
                replayed.deadlineMillis(),
                request.repeatable(),
                request.fingerprint());
        ServiceDispatcher dispatcher = dispatchers.get(request.service());
        applyDecisions(request.service(), dispatcher.submit(dispatchRequest, events.nowMillis()));
        events.atMillis(replayed.deadlineMillis(), () -> onDeadline(replayed));
    }

    /**
     * Returns one hash for each complete KV-cache block of the prompt. The first blocks have the hashes of the shared
     * prefix, the others have hashes of the request alone.
     */
    static List<Long> prefixHashes(TraceEvent.Request request) {
        List<Long> hashes = new ArrayList<>();
        long blocks = request.promptTokens() / UpstreamState.BLOCK_TOKENS;
        for (int i = 0; i < blocks; i++) {
            String prefixName = i < request.sharedPieces() ? request.prefix() : request.id();
            // The multipliers are constants of the SplitMix64 generator.
            hashes.add(prefixName.hashCode() * 0x9E3779B97F4A7C15L + i * 0xBF58476D1CE4E5B9L);
        }
        return hashes;
    }

    private void onDeadline(ReplayedRequest replayed) {
        if (replayed.ended) {
            return;
        }
        replayed.ended = true;
        AttemptId attemptId = currentAttemptIdsByRequest.get(replayed.traceRequest.id());
        String service = replayed.traceRequest.service();
        ServiceDispatcher dispatcher = dispatchers.get(service);
        if (attemptId == null) {
            RequestId id = RequestId.fromString(replayed.traceRequest.id());
            applyDecisions(service, dispatcher.cancel(id, events.nowMillis()));
            return;
        }
        SimulatedAttempt attempt = attemptsById.remove(attemptId);
        currentAttemptIdsByRequest.remove(replayed.traceRequest.id());
        fleet.cancel(attempt);
        AttemptEnd end = new AttemptEnd(AttemptEnd.Outcome.CANCELLED, 0, 0);
        applyDecisions(service, dispatcher.onAttemptEnd(attemptId, end, events.nowMillis()));
    }

    void applyDecisions(String service, List<DispatchDecision> decisions) {
        for (DispatchDecision decision : decisions) {
            ReplayedRequest replayed = replayedById.get(decision.request().value());
            if (decision instanceof DispatchDecision.Dispatch) {
                send(service, replayed, (DispatchDecision.Dispatch) decision);
            } else {
                replayed.ended = true;
                replayed.refusal = Optional.of(((DispatchDecision.Refuse) decision).reason());
            }
        }
    }

    private void send(String service, ReplayedRequest replayed, DispatchDecision.Dispatch dispatch) {
        replayed.attempts++;
        SimulatedAttempt attempt = new SimulatedAttempt(
                replayed.traceRequest,
                prefixHashesOrEmpty(service, replayed),
                replayed.deliveredTokens,
                newListener(service, replayed, dispatch));
        attemptsById.put(dispatch.attempt(), attempt);
        currentAttemptIdsByRequest.put(replayed.traceRequest.id(), dispatch.attempt());
        if (dispatch.prefill().isPresent()) {
            sendToPrefill(service, replayed, attempt, dispatch);
        } else {
            events.afterMillis(NETWORK_DELAY_MILLIS, () -> arrive(replayed, attempt, dispatch.upstream()));
        }
    }

    private List<Long> prefixHashesOrEmpty(String service, ReplayedRequest replayed) {
        return isModel(service) ? prefixHashes(replayed.traceRequest) : List.of();
    }

    private boolean isModel(String service) {
        return fleet.kind(service) == ServiceConfig.Kind.MODEL;
    }

    private void sendToPrefill(
            String service, ReplayedRequest replayed, SimulatedAttempt attempt, DispatchDecision.Dispatch dispatch) {
        SimulatedAttempt.Listener listener = new SimulatedAttempt.Listener() {
            @Override
            public void onTokens(long outputTokens) {
                // A prefill engine delivers a KV cache and no tokens.
            }

            @Override
            public void onEnd(AttemptEnd.Outcome outcome) {
                // After a failed prefill the decode engine processes the prompt itself.
                boolean transferred = outcome == AttemptEnd.Outcome.COMPLETED;
                double transferMillis = transferred ? attempt.promptTokens * 1_000 / KV_TRANSFER_TOKENS_PER_SECOND : 0;
                attempt.remainingPrefillTokens = transferred ? 0 : attempt.promptTokens;
                events.afterMillis(
                        NETWORK_DELAY_MILLIS + transferMillis, () -> arrive(replayed, attempt, dispatch.upstream()));
            }
        };
        SimulatedAttempt prefill = new SimulatedAttempt(
                replayed.traceRequest, prefixHashesOrEmpty(service, replayed), replayed.deliveredTokens, listener);
        prefill.prefillOnly = true;
        events.afterMillis(
                NETWORK_DELAY_MILLIS,
                () -> arrive(replayed, prefill, dispatch.prefill().orElseThrow()));
    }

    private void arrive(ReplayedRequest replayed, SimulatedAttempt attempt, UpstreamId upstream) {
        if (replayed.ended) {
            return;
        }
        SimulatedUpstream target = fleet.find(upstream.value());
        if (!target.isDown() && !attempt.prefillOnly) {
            replayed.runs++;
            replayed.lastRanOnReclaimable = target.declaration().reclaimable();
        }
        fleet.accept(target, attempt);
    }

    /** Returns a listener that records the progress and the end of an attempt. */
    private SimulatedAttempt.Listener newListener(
            String service, ReplayedRequest replayed, DispatchDecision.Dispatch dispatch) {
        ServiceDispatcher dispatcher = dispatchers.get(service);
        return new SimulatedAttempt.Listener() {
            @Override
            public void onTokens(long outputTokens) {
                if (replayed.firstTokenAtMillis < 0) {
                    replayed.firstTokenAtMillis = events.nowMillis();
                }
                replayed.deliveredTokens += outputTokens;
                dispatcher.onProgress(dispatch.attempt(), (int) outputTokens, events.nowMillis());
            }

            @Override
            public void onEnd(AttemptEnd.Outcome outcome) {
                events.afterMillis(NETWORK_DELAY_MILLIS, () -> finish(service, replayed, dispatch, outcome));
            }
        };
    }

    private void finish(
            String service, ReplayedRequest replayed, DispatchDecision.Dispatch dispatch, AttemptEnd.Outcome outcome) {
        if (attemptsById.remove(dispatch.attempt()) == null) {
            // Cancelled at the deadline.
            return;
        }
        currentAttemptIdsByRequest.remove(replayed.traceRequest.id());
        if (outcome == AttemptEnd.Outcome.COMPLETED) {
            replayed.ended = true;
            replayed.completed = true;
            replayed.completedInTime = events.nowMillis() <= replayed.deadlineMillis();
        }
        if (outcome == AttemptEnd.Outcome.CRASHED
                && replayed.lastRanOnReclaimable
                && !replayed.traceRequest.repeatable()) {
            replayed.lostOnReclaimable = true;
        }
        AttemptEnd end = new AttemptEnd(outcome, replayed.traceRequest.promptTokens(), 0);
        applyDecisions(service, dispatchers.get(service).onAttemptEnd(dispatch.attempt(), end, events.nowMillis()));
    }
}
