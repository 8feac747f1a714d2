package org.cactusshift.replay;

import java.util.Optional;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;

/** The state of a request of a trace during a replay. */
final class ReplayedRequest {
    final TraceEvent.Request traceRequest;
    long deliveredTokens;
    long firstTokenAtMillis = -1;
    int attempts;
    int runs;
    boolean ended;
    boolean completed;
    boolean completedInTime;
    boolean lostOnReclaimable;
    Optional<DispatchDecision.Reason> refusal = Optional.empty();
    boolean lastRanOnReclaimable;

    ReplayedRequest(TraceEvent.Request request) {
        this.traceRequest = request;
    }

    long deadlineMillis() {
        return traceRequest.atMillis() + traceRequest.timeoutMillis();
    }

    boolean countsAsGoodput() {
        return completed && completedInTime && (traceRequest.repeatable() || runs <= 1);
    }
}
