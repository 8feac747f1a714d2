package org.cactusshift.internal.coordination.dispatch;

/** A request between its arrival and its final answer. */
final class PendingRequest {
    final DispatchRequest request;
    /** Output tokens that the request is expected to generate in all. */
    final long expectedOutputTokens;
    /** The time after which it can't meet its deadline. */
    final long latestStartMillis;
    /** Output tokens already delivered to the caller by all attempts. */
    long deliveredTokens;
    /** Prompt tokens sent to upstreams by all attempts. */
    long sentPromptTokens;
    /** Whether any attempt may have run a part of the request. */
    boolean mayHaveRun;
    /** When it may be tried as a suspect; put off when the upstream set aside for it was lost meanwhile. */
    long suspectNotBeforeMillis = Long.MIN_VALUE;
    /** When it first became a suspect. */
    long suspectSinceMillis = Long.MAX_VALUE;
    /** Whether the account limiter counts it. */
    boolean admitted;

    PendingRequest(DispatchRequest request, long expectedOutputTokens, long latestStartMillis) {
        this.request = request;
        this.expectedOutputTokens = expectedOutputTokens;
        this.latestStartMillis = latestStartMillis;
    }

    /** Tells whether it can't meet its deadline any more; what was delivered already leaves less to do. */
    boolean isTooLate(long nowMillis) {
        return nowMillis >= (deliveredTokens == 0 ? latestStartMillis : request.deadlineMillis());
    }

    long expectedTokens() {
        return request.promptTokens() + expectedOutputTokens;
    }

    long remainingOutputTokens() {
        return Math.max(1, expectedOutputTokens - deliveredTokens);
    }
}
