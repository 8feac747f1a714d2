package org.cactusshift.errors;

import java.util.Objects;

/**
 * A failed step, used as the left side of {@link io.vavr.control.Either}.
 *
 * @param kind what sort of failure it is
 * @param step the step that failed, as a short verb phrase such as {@code "renew lease"}
 * @param peer the peer at which the step failed, such as an address or an upstream id, or {@code "local"}
 * @param message what happened, for an operator; contains no key and no request body
 */
public record Failure(Kind kind, String step, String peer, String message) {
    /** The sort of a failure; decides what the caller of the step may conclude. */
    public enum Kind {
        /** The step had no effect. */
        NO_EFFECT,
        /** The step may or may not have taken effect. */
        UNKNOWN_EFFECT,
        /** The peer answered that the request is wrong; repeating it cannot help. */
        REJECTED,
        /** The local budget or limit forbids the step at this moment; it was not sent. */
        THROTTLED
    }

    /** Checks that no part is missing. */
    public Failure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(step, "step");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(message, "message");
    }

    /**
     * Returns a failure of a step that had no effect.
     *
     * @param step the failed step
     * @param peer the peer at which it failed
     * @param message what happened
     * @return the failure
     */
    public static Failure noEffect(String step, String peer, String message) {
        return new Failure(Kind.NO_EFFECT, step, peer, message);
    }

    /**
     * Returns a failure of a step that may have taken effect.
     *
     * @param step the failed step
     * @param peer the peer at which it failed
     * @param message what happened
     * @return the failure
     */
    public static Failure unknownEffect(String step, String peer, String message) {
        return new Failure(Kind.UNKNOWN_EFFECT, step, peer, message);
    }

    /**
     * Returns a failure of a step that the peer refused.
     *
     * @param step the failed step
     * @param peer the peer that refused
     * @param message the peer's reason
     * @return the failure
     */
    public static Failure rejected(String step, String peer, String message) {
        return new Failure(Kind.REJECTED, step, peer, message);
    }

    /**
     * Returns a failure of a step that a local budget held back.
     *
     * @param step the step held back
     * @param peer the peer that it was meant for
     * @param message which budget
     * @return the failure
     */
    public static Failure throttled(String step, String peer, String message) {
        return new Failure(Kind.THROTTLED, step, peer, message);
    }

    @Override
    public String toString() {
        return step + " at " + peer + ": " + message + " (" + kind + ")";
    }
}
