package org.cactusshift.pgm.demo;

/**
 * The result of a call of the demo.
 *
 * @param call the call
 * @param outcome how the call ended
 * @param latencyMillis the time to the end of the response
 * @param firstTokenMillis the time to first token; 0 for a plain service, for a refused or lost call and for a
 *     stream that ended with an error event
 * @param promptTokens the prompt tokens: from the usage field of the response, computed from the prompt for a stream
 *     that ended with an error event, otherwise 0
 * @param completionTokens the output tokens that were received
 * @param refusalCode the error code of a refusal or of a stream's error event; empty if there is none
 */
record DemoResult(
        DemoCall call,
        Outcome outcome,
        long latencyMillis,
        long firstTokenMillis,
        long promptTokens,
        long completionTokens,
        String refusalCode) {
    /** How a call ended. */
    enum Outcome {
        /** The complete, correct response was received within the deadline. */
        IN_TIME,
        /** The complete, correct response was received after the deadline. */
        LATE,
        /** The call was refused, and the refusal states that it has not run. */
        NOT_RUN,
        /** The call was refused, lost or ended by an error event, and may have run. */
        UNKNOWN,
        /** The response was truncated, unreadable or not the expected one. */
        WRONG
    }

    static DemoResult failed(DemoCall call, Outcome outcome, long latencyMillis) {
        return refused(call, outcome, latencyMillis, "");
    }

    static DemoResult refused(DemoCall call, Outcome outcome, long latencyMillis, String refusalCode) {
        return new DemoResult(call, outcome, latencyMillis, 0, 0, 0, refusalCode);
    }
}
