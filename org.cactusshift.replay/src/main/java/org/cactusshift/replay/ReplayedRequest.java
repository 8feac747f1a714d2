package org.cactusshift.replay;

import java.util.Optional;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;

/** The state of a request of a trace during a replay. */
final class ReplayedRequest {
    final TraceEvent.Request traceRequest;
    long deliveredTokens;
    /** The virtual time of the first output token; -1 before it. */
    long firstTokenAtMillis = -1;
    /** The attempts that the dispatcher started. */
    int attempts;
    /** The attempts that reached an upstream that was up, without separate prefills. */
    int runs;
    /** Whether the request completed, was refused or reached its deadline. */
    boolean ended;

    boolean completed;
    boolean completedInTime;
    /** Whether an attempt of this request, which is not repeatable, crashed on a reclaimable upstream. */
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
