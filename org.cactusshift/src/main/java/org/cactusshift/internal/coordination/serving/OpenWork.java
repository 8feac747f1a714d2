package org.cactusshift.internal.coordination.serving;

/**
 * The open requests of one or more nodes at an upstream.
 *
 * @param requests the open requests
 * @param pendingPrefillTokens the prompt tokens of these requests that are not prefilled yet
 * @param heldTokens the tokens of the prompts and the expected output of these requests
 */
public record OpenWork(int requests, long pendingPrefillTokens, long heldTokens) {
    /** No requests. */
    public static final OpenWork NONE = new OpenWork(0, 0, 0);

    /**
     * Returns the sum of these requests and others.
     *
     * @param other the requests to add
     * @return the sum
     */
    public OpenWork plus(OpenWork other) {
        return new OpenWork(
                requests + other.requests,
                pendingPrefillTokens + other.pendingPrefillTokens,
                heldTokens + other.heldTokens);
    }
}
