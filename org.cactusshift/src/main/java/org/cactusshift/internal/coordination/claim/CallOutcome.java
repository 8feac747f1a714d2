package org.cactusshift.internal.coordination.claim;

/**
 * The recorded outcome of a call.
 *
 * @param status the HTTP status of the upstream's response; 0 when unknown
 * @param contentType the content type of the response
 * @param body the body of the response; empty when the response had none or its body is larger than {@code
 *     ClaimLogEntry.MAXIMUM_BODY_BYTES} and was not stored
 * @param known whether a response was received; false when the call may have run without one
 */
public record CallOutcome(int status, String contentType, byte[] body, boolean known) {
    /** The outcome of a call that may have run and of which no response was received. */
    public static final CallOutcome UNKNOWN = new CallOutcome(0, "", new byte[0], false);
}
