package org.cactusshift.replay;

import org.cactusshift.internal.coordination.dispatch.EngineLoad;

/** Simulates an upstream in virtual time. */
interface SimulatedUpstream {
    TraceUpstream declaration();

    /** Queues or starts an attempt; ends it at once if the upstream is down or its role is being changed. */
    void accept(SimulatedAttempt attempt);

    /** Drops an attempt without notifying its listener. */
    void cancel(SimulatedAttempt attempt);

    /**
     * Ends all attempts as crashed and refuses connections until {@link #restart}; also used for a reclaim or removal.
     */
    void crash();

    void restart();

    boolean isDown();

    /** Returns the load at the current time, without the lag of load reports. */
    EngineLoad load();
}
