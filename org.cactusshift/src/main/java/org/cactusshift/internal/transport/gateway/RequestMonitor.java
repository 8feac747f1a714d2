package org.cactusshift.internal.transport.gateway;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.transport.http.ResponseNeededCheck;

/**
 * Decides, while a request waits or streams, whether its response is still needed. It no longer is once the deadline
 * has passed, the caller has disconnected, or the key was revoked or can no longer be verified. Used by one thread.
 */
final class RequestMonitor implements ResponseNeededCheck {
    private static final long CALLER_CHECK_PERIOD_MILLIS = 200;
    private static final long KEY_CHECK_PERIOD_MILLIS = 500;

    /** Why a request must end. */
    enum Reason {
        /** The caller has disconnected. */
        CALLER_GONE,
        /** The key was revoked, or this node can no longer verify keys. */
        KEY_WITHDRAWN,
        /** The deadline has passed. */
        DEADLINE
    }

    private final GatewayRequest request;
    private final Optional<KeyId> key;
    private final Deadline deadline;
    private long nextCallerCheckMillis;
    private long nextKeyCheckMillis;
    private boolean responseStarted;
    private boolean endsOnlyAtDeadline;
    private BooleanSupplier silentAttemptReplacer = () -> true;
    private Reason reason;

    RequestMonitor(GatewayRequest request, Caller caller, Deadline deadline) {
        this.request = request;
        this.key = caller.key();
        this.deadline = deadline;
        this.nextCallerCheckMillis = request.receivedMillis() + CALLER_CHECK_PERIOD_MILLIS;
        this.nextKeyCheckMillis = request.receivedMillis() + KEY_CHECK_PERIOD_MILLIS;
    }

    /**
     * Records that a part of the response was sent; from then on the default deadline no longer ends the request.
     */
    void onResponseStarted() {
        responseStarted = true;
    }

    /**
     * Stops the checks of the caller's connection and key, so that only the deadline ends the request from now on.
     * Called when a non-repeatable request is sent: receiving its outcome is more important than saving the upstream's
     * work by a cancellation.
     */
    void endOnlyAtDeadline() {
        endsOnlyAtDeadline = true;
    }

    /**
     * Sets the action for a silent attempt, for the attempts from now on: it replaces the attempt if that is possible,
     * and returns whether the attempt is given up. It is repeated while the silence lasts.
     */
    void setSilentAttemptReplacer(BooleanSupplier replacer) {
        silentAttemptReplacer = replacer;
    }

    Optional<Reason> reason() {
        return Optional.ofNullable(reason);
    }

    @Override
    public boolean isResponseNeeded() {
        long nowMillis = request.dependencies().monotonicMillis().getAsLong();
        if (reason == null) {
            reason = findReason(nowMillis);
        }
        return reason == null;
    }

    /**
     * Returns whether a silent attempt is given up: when it was replaced, or when any deadline has passed, which else
     * would not end a response that has started.
     */
    @Override
    public boolean isAbandonedWhenSilent() {
        long nowMillis = request.dependencies().monotonicMillis().getAsLong();
        return nowMillis >= deadline.atMillis() || silentAttemptReplacer.getAsBoolean();
    }

    private Reason findReason(long nowMillis) {
        if (nowMillis >= deadline.atMillis() && (deadline.setByCaller() || !responseStarted)) {
            return Reason.DEADLINE;
        }
        if (endsOnlyAtDeadline) {
            return null;
        }
        if (nowMillis >= nextCallerCheckMillis) {
            nextCallerCheckMillis = nowMillis + CALLER_CHECK_PERIOD_MILLIS;
            if (request.exchange().isCallerDisconnected()) {
                return Reason.CALLER_GONE;
            }
        }
        if (nowMillis >= nextKeyCheckMillis) {
            nextKeyCheckMillis = nowMillis + KEY_CHECK_PERIOD_MILLIS;
            if (key.isPresent() && !request.dependencies().keyVerifier().isStillValid(key.get(), nowMillis)) {
                return Reason.KEY_WITHDRAWN;
            }
        }
        return null;
    }

    /**
     * Returns the refusal for the reason that ended the request; without a reason, the one for a disconnected caller. A
     * disconnected caller doesn't receive its refusal, which always says that the request may have run.
     */
    Refusal refusal(boolean mayHaveRun) {
        return switch (reason().orElse(Reason.CALLER_GONE)) {
            case KEY_WITHDRAWN -> Refusal.keyNoLongerValid(mayHaveRun);
            case DEADLINE -> Refusal.deadline(mayHaveRun);
            case CALLER_GONE -> Refusal.upstreamLost("the caller has gone");
        };
    }
}
