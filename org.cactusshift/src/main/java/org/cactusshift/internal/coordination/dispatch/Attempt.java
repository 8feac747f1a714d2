package org.cactusshift.internal.coordination.dispatch;

import java.util.Optional;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.routing.OutputDeadline;
import org.cactusshift.internal.coordination.routing.UpstreamState;

/** One dispatch of a request that has not ended. */
final class Attempt {
    final PendingRequest pending;
    final UpstreamState upstream;
    /** The engine that processes the prompt first, or empty. */
    final Optional<UpstreamState> prefillEngine;

    final long sentAtMillis;
    final int blocks;
    final OutputDeadline outputDeadline;
    /** Whether it tries out an upstream that failed. */
    final boolean probe;
    /** Whether it is a suspect that has the upstream to itself. */
    final boolean exclusive;

    long progressTokens;

    Attempt(
            PendingRequest pending,
            UpstreamState upstream,
            Optional<UpstreamState> prefill,
            long sentAtMillis,
            int pieces,
            OutputDeadline promise,
            boolean probe,
            boolean alone) {
        this.pending = pending;
        this.upstream = upstream;
        this.prefillEngine = prefill;
        this.sentAtMillis = sentAtMillis;
        this.blocks = pieces;
        this.outputDeadline = promise;
        this.probe = probe;
        this.exclusive = alone;
    }

    boolean uses(UpstreamId id) {
        return upstream.id().equals(id)
                || prefillEngine.filter(engine -> engine.id().equals(id)).isPresent();
    }
}
