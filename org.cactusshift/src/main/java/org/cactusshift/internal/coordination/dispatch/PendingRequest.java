package org.cactusshift.internal.coordination.dispatch;

import org.cactusshift.config.ServiceConfig;

/** A request that has arrived and has no final response yet. */
final class PendingRequest {
    final DispatchRequest request;
    /** Expected total number of output tokens. */
    final long expectedOutputTokens;
    /** The time after which an attempt can't meet the deadline of the request any more. */
    final long latestStartMillis;
    /** Output tokens delivered to the caller so far, by all attempts. */
    long deliveredTokens;
    /** Uncached prompt tokens sent to upstreams, by all attempts. */
    long sentUncachedTokens;
    /** Whether an upstream may have run any part of the request. */
    boolean mayHaveRun;
    /**
     * Earliest time of an attempt as a suspect; postponed when the upstream reserved for it was lost meanwhile. {@link
     * Long#MIN_VALUE} until then.
     */
    long suspectNotBeforeMillis = Long.MIN_VALUE;
    /** The time at which the request first became a suspect; {@link Long#MAX_VALUE} before. */
    long suspectSinceMillis = Long.MAX_VALUE;
    /** Whether the account limiter has admitted and counted the request. */
    boolean admitted;

    PendingRequest(DispatchRequest request, long expectedOutputTokens, long latestStartMillis) {
        this.request = request;
        this.expectedOutputTokens = expectedOutputTokens;
        this.latestStartMillis = latestStartMillis;
    }

    /**
     * Returns whether the request can't meet its deadline any more. Once tokens were delivered, less work remains than
     * the latest start allows for, so only the deadline itself counts.
     */
    boolean isTooLate(long nowMillis) {
        return nowMillis >= (deliveredTokens == 0 ? latestStartMillis : request.deadlineMillis());
    }

    /** Returns whether the request may be sent again after an attempt that may have run it, in part or whole. */
    boolean mayRunAgain(ServiceConfig.Kind kind) {
        boolean resumable = kind == ServiceConfig.Kind.MODEL || deliveredTokens == 0;
        return request.repeatable() && resumable;
    }

    /** Returns the prompt and expected output tokens, which the account limiter counts at the admission. */
    long expectedTotalTokens() {
        return request.promptTokens() + expectedOutputTokens;
    }

    /** Returns the expected output tokens that are not delivered yet, at least 1 as the estimate may be too low. */
    long remainingOutputTokens() {
        return Math.max(1, expectedOutputTokens - deliveredTokens);
    }
}
