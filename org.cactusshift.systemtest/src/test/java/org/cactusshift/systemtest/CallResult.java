package org.cactusshift.systemtest;

/**
 * Result of one call as its caller observed it.
 *
 * @param call the call
 * @param nodeAddress the address at which the node accepts callers, as {@code ADDRESS:PORT}
 * @param outcome the outcome of the call
 * @param promptTokens the prompt tokens that the caller is billed for; 0 unless a chat response is complete or ends
 *     early
 * @param completionTokens the completion tokens that the caller is billed for; 0 unless a chat response is complete or
 *     ends early
 * @param detail the status and error code, the cause of a loss, or a note on the response
 */
record CallResult(
        TrafficCall call,
        String nodeAddress,
        Outcome outcome,
        long promptTokens,
        long completionTokens,
        String detail) {
    /** Outcome of a call. */
    enum Outcome {
        /** The complete and correct response was received. */
        ANSWERED,
        /** The call was refused and the response says that it has not run. */
        NOT_RUN,
        /** The call was refused and the response says that it may have run. */
        UNKNOWN,
        /** The stream ended with an error event after correct content. */
        ENDED_EARLY,
        /** The request was not sent: no connection to the node could be opened. */
        NOT_SENT,
        /** The connection to the node failed, or the node did not respond in time. */
        LOST,
        /** The response belongs to another call, is incorrect, or is a refusal without an outcome header. */
        WRONG
    }

    static CallResult of(TrafficCall call, String nodeAddress, Outcome outcome, String detail) {
        return new CallResult(call, nodeAddress, outcome, 0, 0, detail);
    }
}
