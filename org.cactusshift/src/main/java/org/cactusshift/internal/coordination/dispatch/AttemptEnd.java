package org.cactusshift.internal.coordination.dispatch;

/**
 * How an attempt ended.
 *
 * @param outcome the outcome
 * @param promptTokens prompt tokens that the upstream reported, or 0
 * @param outputTokens output tokens delivered to the caller by this attempt
 */
public record AttemptEnd(Outcome outcome, long promptTokens, long outputTokens) {
    /** The outcome of an attempt. */
    public enum Outcome {
        /** The whole answer was received. */
        COMPLETED,
        /** The upstream said that it refused before running. */
        NOT_RUN,
        /** No byte of the request can have reached the upstream. */
        NOT_SENT,
        /** The upstream closed the connection or crashed while the request was on it. */
        CRASHED,
        /** The upstream made no progress within the bound; the connection was abandoned. */
        SILENT,
        /** The caller went away. */
        CANCELLED
    }
}
