package org.cactusshift.internal.coordination.routing;

import java.util.random.RandomGenerator;

/**
 * Circuit breaker for one upstream: excludes it after a failure and readmits it by single probes.
 *
 * <p>After a failure the upstream gets no requests for a back-off that doubles with each further failure and is
 * jittered by a factor from 0.5 to 1.5. Then one repeatable request may probe it; a success readmits it.
 */
public final class UpstreamHealth {
    private static final long FIRST_BACK_OFF_MILLIS = 500;
    /** The back-off stops growing at this number of failures, at 16 s before jitter. */
    private static final int MAXIMUM_COUNTED_FAILURES = 6;

    /** Never {@link State#PROBE_DUE}, which is derived from the time. */
    private State state = State.UP;

    private int failures;
    private long probeAtMillis;
    private long failedAtMillis = Long.MIN_VALUE;

    private UpstreamHealth() {}

    /** The state of the circuit breaker. */
    public enum State {
        /** Closed: any request may be sent. */
        UP,
        /** Open: no request may be sent until the back-off has ended. */
        DOWN,
        /** Half-open: one repeatable request may be sent as a probe. */
        PROBE_DUE,
        /** Half-open: a probe is outstanding; no further request may be sent. */
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
     * @param nowMillis the current time
     * @return the state
     */
    public State state(long nowMillis) {
        if (state == State.DOWN && nowMillis >= probeAtMillis) {
            return State.PROBE_DUE;
        }
        return state;
    }

    /**
     * Records a crash, an unresponsive upstream or a connection that could not be opened.
     *
     * <p>Failures reported during the back-off are ignored, so that attempts that were lost together count as one
     * failure.
     *
     * @param nowMillis the current time
     * @param random the source of the jitter
     */
    public void onFailure(long nowMillis, RandomGenerator random) {
        if (state == State.DOWN && nowMillis < probeAtMillis) {
            return;
        }
        failures = Math.min(failures + 1, MAXIMUM_COUNTED_FAILURES);
        long backOffMillis = FIRST_BACK_OFF_MILLIS << (failures - 1);
        probeAtMillis = nowMillis + backOffMillis / 2 + random.nextLong(backOffMillis);
        failedAtMillis = nowMillis;
        state = State.DOWN;
    }

    /**
     * Records a complete response.
     *
     * @param sentAtMillis when the attempt was sent; a response to an attempt sent before the last failure is no
     *     evidence of recovery
     */
    public void onSuccess(long sentAtMillis) {
        if (sentAtMillis > failedAtMillis) {
            state = State.UP;
            failures = 0;
        }
    }

    /** Records that a probe was sent. */
    public void onProbe() {
        state = State.PROBING;
    }

    /**
     * Allows a new probe if one is outstanding. Called when an attempt ended without evidence, for example because the
     * caller disconnected.
     *
     * @param nowMillis the current time
     */
    public void onInconclusiveProbe(long nowMillis) {
        if (state == State.PROBING) {
            state = State.DOWN;
            probeAtMillis = nowMillis;
        }
    }

    /**
     * Records that the upstream restarted: unless it is up, it may be probed immediately, and of its earlier failures
     * only one counts for the next back-off.
     *
     * @param nowMillis the current time
     */
    public void onRestart(long nowMillis) {
        if (state != State.UP) {
            state = State.DOWN;
            failures = 1;
            probeAtMillis = nowMillis;
        }
    }
}
