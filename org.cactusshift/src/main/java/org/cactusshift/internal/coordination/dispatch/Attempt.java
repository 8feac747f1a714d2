package org.cactusshift.internal.coordination.dispatch;

import org.cactusshift.internal.coordination.routing.UpstreamState;

/** One dispatch of a request that has not ended. */
final class Attempt {
    final PendingRequest pending;
    final UpstreamState upstream;
    final long sentAtMillis;
    final int pieces;
    /** Whether it tries out an upstream that failed. */
    final boolean probe;
    /** Whether it is a suspect that has the upstream to itself. */
    final boolean alone;

    long progressTokens;

    Attempt(
            PendingRequest pending,
            UpstreamState upstream,
            long sentAtMillis,
            int pieces,
            boolean probe,
            boolean alone) {
        this.pending = pending;
        this.upstream = upstream;
        this.sentAtMillis = sentAtMillis;
        this.pieces = pieces;
        this.probe = probe;
        this.alone = alone;
    }
}
