package org.cactusshift.systemtest;

/**
 * Result of one call as its caller observed it.
 *
 * @param call the call
 * @param node the caller address of the node that the call was sent to
 * @param outcome the outcome of the call
 * @param promptTokens the prompt tokens that the caller is billed for
 * @param completionTokens the completion tokens that the caller is billed for
 * @param detail the status and error code, the cause of a loss, or a note on the response
 */
record CallResult(
        TrafficCall call, String node, Outcome outcome, long promptTokens, long completionTokens, String detail) {
    /** Outcome of a call. */
    enum Outcome {
        /** The complete and correct response was received. */
        ANSWERED,
        /** It was refused, with the statement that it has not run. */
        NOT_RUN,
        /** It was refused, with the statement that it may have run. */
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

    static CallResult of(TrafficCall call, String node, Outcome outcome, String detail) {
        return new CallResult(call, node, outcome, 0, 0, detail);
    }
}
