package org.cactusshift.errors;

import java.util.Objects;

/**
 * The failure of a step, used as the left side of {@link io.vavr.control.Either}.
 *
 * @param kind the kind of failure
 * @param step the step that failed, as a short verb phrase such as {@code "renew lease"}
 * @param peer where the step failed: the remote side, such as an address, an upstream id or {@code "store"}; a store
 *     key, a duty or a file; or {@code "local"}, for this process
 * @param message a description of the cause for operators; contains no key and no request body
 */
public record Failure(Kind kind, String step, String peer, String message) {
    /** The kind of a failure, which says what the caller may assume about the effect of the step. */
    public enum Kind {
        /** The step had no effect. */
        NO_EFFECT,
        /** The step may or may not have taken effect. */
        UNKNOWN_EFFECT,
        /**
         * The remote side or a local check rejected the step, or the response was invalid; the same step must not be
         * retried as it is.
         */
        REJECTED,
        /** A local budget or limit does not permit the step at present; it was not sent. */
        THROTTLED
    }

    /** Checks that no component is null. */
    public Failure {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(step, "step");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(message, "message");
    }

    /**
     * Returns the failure of a step that had no effect.
     *
     * @param step the failed step
     * @param peer where the step failed
     * @param message a description of the cause
     * @return the failure
     */
    public static Failure noEffect(String step, String peer, String message) {
        return new Failure(Kind.NO_EFFECT, step, peer, message);
    }

    /**
     * Returns the failure of a step that may or may not have taken effect.
     *
     * @param step the failed step
     * @param peer where the step failed
     * @param message a description of the cause
     * @return the failure
     */
    public static Failure unknownEffect(String step, String peer, String message) {
        return new Failure(Kind.UNKNOWN_EFFECT, step, peer, message);
    }

    /**
     * Returns the failure of a step that was rejected, or whose response was invalid.
     *
     * @param step the failed step
     * @param peer where the step was rejected, or the side that sent the invalid response
     * @param message the reason for the rejection, or what is invalid
     * @return the failure
     */
    public static Failure rejected(String step, String peer, String message) {
        return new Failure(Kind.REJECTED, step, peer, message);
    }

    /**
     * Returns the failure of a step that was not sent because of a local budget or limit.
     *
     * @param step the step that was not sent
     * @param peer where the budget or limit applies
     * @param message the exhausted budget or limit
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
