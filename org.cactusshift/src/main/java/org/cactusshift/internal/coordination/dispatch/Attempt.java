package org.cactusshift.internal.coordination.dispatch;

import java.util.Optional;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.routing.OutputDeadline;
import org.cactusshift.internal.coordination.routing.UpstreamState;

/** An attempt that has been dispatched and has not ended. */
final class Attempt {
    final PendingRequest pending;
    final UpstreamState upstream;
    /** The prefill engine; empty when the upstream processes the prompt itself. */
    final Optional<UpstreamState> prefillEngine;

    final long sentAtMillis;
    final int blocks;
    final OutputDeadline outputDeadline;
    /** Whether the attempt probes an upstream that failed before. */
    final boolean probe;
    /** Whether the request is a suspect for which this node has reserved the upstream. */
    final boolean runsAlone;

    long progressTokens;

    Attempt(
            PendingRequest pending,
            UpstreamState upstream,
            Optional<UpstreamState> prefillEngine,
            long sentAtMillis,
            int blocks,
            OutputDeadline outputDeadline,
            boolean probe,
            boolean runsAlone) {
        this.pending = pending;
        this.upstream = upstream;
        this.prefillEngine = prefillEngine;
        this.sentAtMillis = sentAtMillis;
        this.blocks = blocks;
        this.outputDeadline = outputDeadline;
        this.probe = probe;
        this.runsAlone = runsAlone;
    }

    boolean uses(UpstreamId id) {
        return upstream.id().equals(id)
                || prefillEngine.filter(engine -> engine.id().equals(id)).isPresent();
    }
}
