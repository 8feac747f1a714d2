package org.cactusshift.replay;

import org.cactusshift.internal.coordination.dispatch.EngineLoad;

/** Simulates an upstream in virtual time. */
interface SimulatedUpstream {
    TraceUpstream declaration();

    void accept(SimulatedAttempt attempt);

    void cancel(SimulatedAttempt attempt);

    /** Ends all attempts as crashed and refuses connections until {@link #restart}. */
    void crash();

    void restart();

    boolean isDown();

    EngineLoad load();
}
