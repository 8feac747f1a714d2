package org.cactusshift.pgm.demo;

/**
 * What a caller of the demo received.
 *
 * @param call the call
 * @param outcome how it ended
 * @param latencyMillis the time to the end of the answer
 * @param firstTokenMillis the time to the first token; 0 for a plain service
 * @param promptTokens prompt tokens by the answer's usage
 * @param completionTokens output tokens received
 * @param refusalCode the code of a refusal; empty without one
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
        /** The whole right answer came within the deadline. */
        IN_TIME,
        /** The whole right answer came after the deadline. */
        LATE,
        /** It was refused with the word that it has not run. */
        NOT_RUN,
        /** It was refused or lost and may have run. */
        UNKNOWN,
        /** The answer was cut or belonged to another call. */
        WRONG
    }

    static DemoResult failed(DemoCall call, Outcome outcome, long latencyMillis) {
        return refused(call, outcome, latencyMillis, "");
    }

    static DemoResult refused(DemoCall call, Outcome outcome, long latencyMillis, String refusalCode) {
        return new DemoResult(call, outcome, latencyMillis, 0, 0, 0, refusalCode);
    }
}
