package org.cactusshift.replay;

import java.util.List;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;

/** An attempt at a simulated upstream. */
final class SimulatedAttempt {
    final TraceEvent.Request traceRequest;
    final List<Long> prefixHashes;
    /** Prompt tokens, including the output that was delivered before a resume. */
    final long promptTokens;
    /** Output tokens that this attempt is to generate. */
    final long outputTokens;

    final Listener listener;
    /** Whether the attempt ends after the prefill, as another engine decodes. */
    boolean prefillOnly;

    long remainingPrefillTokens;
    long generatedTokens;
    int heldBlocks;
    boolean ended;

    /** Receives the progress and the end of an attempt. */
    interface Listener {
        void onTokens(long outputTokens);

        void onEnd(AttemptEnd.Outcome outcome);
    }

    SimulatedAttempt(TraceEvent.Request request, List<Long> prefixHashes, long deliveredTokens, Listener listener) {
        this.traceRequest = request;
        this.prefixHashes = prefixHashes;
        this.promptTokens = request.promptTokens() + deliveredTokens;
        this.outputTokens = Math.max(1, request.outputTokens() - deliveredTokens);
        this.remainingPrefillTokens = promptTokens;
        this.listener = listener;
    }

    void end(AttemptEnd.Outcome outcome) {
        if (!ended) {
            ended = true;
            listener.onEnd(outcome);
        }
    }
}
