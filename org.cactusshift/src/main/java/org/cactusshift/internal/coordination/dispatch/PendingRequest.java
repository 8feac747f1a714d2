package org.cactusshift.internal.coordination.dispatch;

/** A request between its arrival and its final answer. */
final class PendingRequest {
    final DispatchRequest request;
    final long arrivalMillis;
    /** Output tokens already delivered to the caller by all attempts. */
    long deliveredTokens;
    /** Whether any attempt may have run a part of the request. */
    boolean mayHaveRun;
    /** Whether the request was dispatched before. */
    boolean dispatched;

    PendingRequest(DispatchRequest request, long arrivalMillis) {
        this.request = request;
        this.arrivalMillis = arrivalMillis;
    }
}
