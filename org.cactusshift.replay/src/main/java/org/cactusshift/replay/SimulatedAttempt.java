package org.cactusshift.replay;

import java.util.List;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;

/** An attempt at a simulated upstream. */
final class SimulatedAttempt {
    final TraceEvent.Request traceRequest;
    final List<Long> prefixHashes;
    /** Tokens to be processed before the next output token. */
    final long promptTokens;
    /** Output tokens still to be generated. */
    final long outputTokens;

    final Listener listener;
    /** Whether the KV cache is handed over instead of the output being generated. */
    boolean prefillOnly;

    long remainingPrefillTokens;
    long generatedTokens;
    int heldBlocks;
    boolean ended;

    /** Hears of an attempt's progress and end. */
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
