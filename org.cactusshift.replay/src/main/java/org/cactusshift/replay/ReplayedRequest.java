package org.cactusshift.replay;

import java.util.Optional;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;

/** The state of a request of a trace during a replay. */
final class ReplayedRequest {
    final TraceEvent.Request request;
    long deliveredTokens;
    long firstTokenAtMillis = -1;
    int attempts;
    int runs;
    boolean ended;
    boolean completed;
    boolean completedInTime;
    boolean lostToReclaim;
    Optional<DispatchDecision.Reason> refusal = Optional.empty();
    boolean ranOnReclaimable;

    ReplayedRequest(TraceEvent.Request request) {
        this.request = request;
    }

    long deadlineMillis() {
        return request.atMillis() + request.timeoutMillis();
    }

    boolean countsAsGoodput() {
        return completed && completedInTime && (request.repeatable() || runs <= 1);
    }
}
