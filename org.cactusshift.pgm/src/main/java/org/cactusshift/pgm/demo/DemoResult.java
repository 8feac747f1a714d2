package org.cactusshift.pgm.demo;

/**
 * The result of a call of the demo.
 *
 * @param call the call
 * @param outcome how the call ended
 * @param latencyMillis the time to the end of the response
 * @param firstTokenMillis the time to first token; 0 for a plain service
 * @param promptTokens the prompt tokens, from the usage of the response if there is one
 * @param completionTokens the output tokens that were received
 * @param refusalCode the code of the refusal; empty if there is none
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
        /** The call was refused or lost, and may have run. */
        UNKNOWN,
        /** The response was cut or belonged to another call. */
        WRONG
    }

    static DemoResult failed(DemoCall call, Outcome outcome, long latencyMillis) {
        return refused(call, outcome, latencyMillis, "");
    }

    static DemoResult refused(DemoCall call, Outcome outcome, long latencyMillis, String refusalCode) {
        return new DemoResult(call, outcome, latencyMillis, 0, 0, 0, refusalCode);
    }
}
