package org.cactusshift.internal.coordination.dispatch;

import java.util.Optional;
import java.util.random.RandomGenerator;
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
    /** KV-cache blocks that the upstream is expected to need for the attempt. */
    final int requiredBlocks;

    final OutputDeadline outputDeadline;
    /** Whether the attempt probes an upstream that failed before. */
    final boolean isProbe;
    /** Whether the request is a suspect for which this node has reserved the upstream. */
    final boolean runsAlone;

    /** Output tokens that were reported as delivered before the end of the attempt. */
    long reportedOutputTokens;

    private boolean silenceCounted;

    Attempt(
            PendingRequest pending,
            UpstreamState upstream,
            Optional<UpstreamState> prefillEngine,
            long sentAtMillis,
            int requiredBlocks,
            OutputDeadline outputDeadline,
            boolean isProbe,
            boolean runsAlone) {
        this.pending = pending;
        this.upstream = upstream;
        this.prefillEngine = prefillEngine;
        this.sentAtMillis = sentAtMillis;
        this.requiredBlocks = requiredBlocks;
        this.outputDeadline = outputDeadline;
        this.isProbe = isProbe;
        this.runsAlone = runsAlone;
    }

    /** Records that the upstream is silent, which counts once for each attempt as a failure of the upstream. */
    void onSilence(long nowMillis, RandomGenerator random) {
        if (!silenceCounted) {
            silenceCounted = true;
            upstream.health().onFailure(nowMillis, random);
        }
    }

    boolean uses(UpstreamId id) {
        return upstream.id().equals(id)
                || prefillEngine.filter(engine -> engine.id().equals(id)).isPresent();
    }
}
