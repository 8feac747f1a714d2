package org.cactusshift.internal.coordination.claim;

/**
 * The recorded outcome of a call.
 *
 * @param status the HTTP status that the upstream answered; 0 when unknown
 * @param contentType the content type of the answer
 * @param body the body of the answer; empty when too large to be kept
 * @param known whether the outcome is known
 */
public record CallOutcome(int status, String contentType, byte[] body, boolean known) {
    /** The outcome of a call whose upstream was lost. */
    public static final CallOutcome UNKNOWN = new CallOutcome(0, "", new byte[0], false);
}
