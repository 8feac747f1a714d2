package org.cactusshift.internal.transport.gateway;

import java.util.Optional;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.transport.http.CancellationCheck;

/** Looks, while a request waits or streams, whether its answer is still wanted and allowed. Used by one thread. */
final class RequestMonitor implements CancellationCheck {
    private static final long CALLER_CHECK_MILLIS = 200;
    private static final long KEY_CHECK_MILLIS = 500;

    /** Why an answer is not wanted any more. */
    enum Reason {
        CALLER_GONE,
        KEY_WITHDRAWN,
        DEADLINE
    }

    private final GatewayRequest request;
    private final Optional<KeyId> key;
    private final Deadline deadline;
    private long nextCallerCheckMillis;
    private long nextKeyCheckMillis;
    private boolean responseStarted;
    private boolean endsOnlyAtDeadline;
    private Reason reason;

    RequestMonitor(GatewayRequest request, Caller caller, Deadline deadline) {
        this.request = request;
        this.key = caller.key();
        this.deadline = deadline;
        this.nextCallerCheckMillis = request.receivedMillis() + CALLER_CHECK_MILLIS;
        this.nextKeyCheckMillis = request.receivedMillis() + KEY_CHECK_MILLIS;
    }

    /** Notes that the caller has got a part of its answer, which is not cut at a deadline that it didn't name. */
    void onResponseStarted() {
        responseStarted = true;
    }

    /**
     * Notes that the request is being run and may run only once: it is then worth more to learn its outcome than to
     * save the upstream's work, so only the deadline ends it.
     */
    void endOnlyAtDeadline() {
        endsOnlyAtDeadline = true;
    }

    Optional<Reason> reason() {
        return Optional.ofNullable(reason);
    }

    @Override
    public boolean isResponseNeeded() {
        long nowMillis = request.components().monotonicMillis().getAsLong();
        if (reason == null) {
            reason = check(nowMillis);
        }
        return reason == null;
    }

    private Reason check(long nowMillis) {
        if (nowMillis >= deadline.atMillis() && (deadline.setByCaller() || !responseStarted)) {
            return Reason.DEADLINE;
        }
        if (endsOnlyAtDeadline) {
            return null;
        }
        if (nowMillis >= nextCallerCheckMillis) {
            nextCallerCheckMillis = nowMillis + CALLER_CHECK_MILLIS;
            if (request.exchange().isCallerDisconnected()) {
                return Reason.CALLER_GONE;
            }
        }
        if (nowMillis >= nextKeyCheckMillis) {
            nextKeyCheckMillis = nowMillis + KEY_CHECK_MILLIS;
            if (key.isPresent() && !request.components().keys().isStillValid(key.get(), nowMillis)) {
                return Reason.KEY_WITHDRAWN;
            }
        }
        return null;
    }

    /** Returns what the caller is told; for a caller that is gone, nobody reads it. */
    Refusal refusal(boolean mayHaveRun) {
        return switch (reason().orElse(Reason.CALLER_GONE)) {
            case KEY_WITHDRAWN -> Refusal.keyRevoked(mayHaveRun);
            case DEADLINE -> Refusal.deadline(mayHaveRun);
            case CALLER_GONE -> Refusal.upstreamLost("the caller has gone");
        };
    }
}
