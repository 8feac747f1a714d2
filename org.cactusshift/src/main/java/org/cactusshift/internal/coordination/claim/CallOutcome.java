package org.cactusshift.internal.coordination.claim;

/**
 * The recorded outcome of a call.
 *
 * @param status the HTTP status of the upstream's response; 0 when unknown
 * @param contentType the content type of the response
 * @param body the body of the response; empty when too large to be stored
 * @param known whether the outcome is known
 */
public record CallOutcome(int status, String contentType, byte[] body, boolean known) {
    /** The outcome of a call whose upstream was lost. */
    public static final CallOutcome UNKNOWN = new CallOutcome(0, "", new byte[0], false);
}
