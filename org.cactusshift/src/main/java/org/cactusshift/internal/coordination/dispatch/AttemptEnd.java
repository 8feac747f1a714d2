package org.cactusshift.internal.coordination.dispatch;

/**
 * How an attempt ended.
 *
 * @param outcome the outcome
 * @param promptTokens prompt tokens that the upstream reported; 0 when it reported none
 * @param outputTokens output tokens delivered to the caller by this attempt
 */
public record AttemptEnd(Outcome outcome, long promptTokens, long outputTokens) {
    /** The outcome of an attempt. */
    public enum Outcome {
        /** The complete response was received. */
        COMPLETED,
        /** The upstream reported that it refused the request before running it. */
        NOT_RUN,
        /** No byte of the request can have reached the upstream. */
        NOT_SENT,
        /** The upstream closed the connection or crashed while the request was in flight. */
        CRASHED,
        /** The upstream made no progress within the time limit and the connection was closed. */
        SILENT,
        /** The caller closed its connection or cancelled the request. */
        CANCELLED
    }
}
