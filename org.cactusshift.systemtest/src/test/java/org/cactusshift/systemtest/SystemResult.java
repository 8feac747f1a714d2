package org.cactusshift.systemtest;

/**
 * What a caller received for one call.
 *
 * @param call the call
 * @param node the caller address of the node that was asked
 * @param outcome how the call ended
 * @param promptTokens the prompt tokens that the caller is billed for
 * @param completionTokens the completion tokens that the caller is billed for
 * @param detail the status, the error code or the cause of a loss
 */
record SystemResult(
        SystemCall call, String node, Outcome outcome, long promptTokens, long completionTokens, String detail) {
    /** How a call ended. */
    enum Outcome {
        /** The whole right answer came. */
        ANSWERED,
        /** It was refused with the word that it has not run. */
        NOT_RUN,
        /** It was refused with the word that it may have run. */
        UNKNOWN,
        /** The stream ended with an error event after a right start. */
        ENDED_EARLY,
        /** No connection to the node could be opened. */
        NOT_SENT,
        /** The connection to the node broke or the node never answered. */
        LOST,
        /** The answer belongs to another call or contradicts what the stand-ins say. */
        WRONG
    }

    static SystemResult of(SystemCall call, String node, Outcome outcome, String detail) {
        return new SystemResult(call, node, outcome, 0, 0, detail);
    }
}
