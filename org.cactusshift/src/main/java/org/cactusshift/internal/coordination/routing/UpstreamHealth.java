package org.cactusshift.internal.coordination.routing;

import java.util.random.RandomGenerator;

/**
 * Leaves a failing upstream at once and comes back to it by single probes.
 *
 * <p>After a failure the upstream takes nothing for a jittered back-off that doubles with each further failure. Then
 * one repeatable request may probe it; success opens it again.
 */
public final class UpstreamHealth {
    private static final long FIRST_BACK_OFF_MILLIS = 500;
    private static final int MAXIMUM_DOUBLINGS = 6;

    private State state = State.UP;
    private int failures;
    private long probeAtMillis;
    private long failedAtMillis = Long.MIN_VALUE;

    private UpstreamHealth() {}

    /** Whether an upstream takes work. */
    public enum State {
        /** Takes any request. */
        UP,
        /** Takes nothing until the back-off is over. */
        DOWN,
        /** Takes one repeatable request. */
        PROBE_DUE,
        /** Waits for the end of the probe. */
        PROBING
    }

    /**
     * Returns the health of an upstream that has not failed.
     *
     * @return the health
     */
    public static UpstreamHealth create() {
        return new UpstreamHealth();
    }

    /**
     * Returns the state.
     *
     * @param nowMillis the present time
     * @return the state
     */
    public State state(long nowMillis) {
        if (state == State.DOWN && nowMillis >= probeAtMillis) {
            return State.PROBE_DUE;
        }
        return state;
    }

    /**
     * Notes a crash, a silence or a connection that could not be opened.
     *
     * <p>Failures of attempts that were on the upstream together count as one.
     *
     * @param nowMillis the present time
     * @param random the source of the jitter
     */
    public void onFailure(long nowMillis, RandomGenerator random) {
        if (state == State.DOWN && nowMillis < probeAtMillis) {
            return;
        }
        failures = Math.min(failures + 1, MAXIMUM_DOUBLINGS);
        long backOffMillis = FIRST_BACK_OFF_MILLIS << (failures - 1);
        probeAtMillis = nowMillis + backOffMillis / 2 + random.nextLong(backOffMillis);
        failedAtMillis = nowMillis;
        state = State.DOWN;
    }

    /**
     * Notes a whole answer.
     *
     * @param sentAtMillis when the attempt was sent; an answer to one sent before the last failure proves nothing
     */
    public void onSuccess(long sentAtMillis) {
        if (sentAtMillis > failedAtMillis) {
            state = State.UP;
            failures = 0;
        }
    }

    /** Notes that a probe was sent. */
    public void onProbe() {
        state = State.PROBING;
    }

    /**
     * Notes that a probe ended without showing anything, such as by the caller going away.
     *
     * @param nowMillis the present time
     */
    public void onInconclusiveProbe(long nowMillis) {
        if (state == State.PROBING) {
            state = State.DOWN;
            probeAtMillis = nowMillis;
        }
    }

    /**
     * Notes that the upstream started anew; it may be probed at once.
     *
     * @param nowMillis the present time
     */
    public void onRestart(long nowMillis) {
        if (state != State.UP) {
            state = State.DOWN;
            failures = 1;
            probeAtMillis = nowMillis;
        }
    }
}
