package org.cactusshift.replay;

import org.cactusshift.internal.coordination.dispatch.EngineLoad;

/** A small fake of an upstream in virtual time. */
interface SimulatedUpstream {
    TraceUpstream declaration();

    void accept(SimulatedAttempt job);

    void cancel(SimulatedAttempt job);

    /** Loses all work and refuses connections until {@link #restart}. */
    void crash();

    void restart();

    boolean isDown();

    EngineLoad load();
}
