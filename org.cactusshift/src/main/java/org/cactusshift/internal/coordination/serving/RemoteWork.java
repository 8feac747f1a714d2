package org.cactusshift.internal.coordination.serving;

/**
 * The open work of other nodes at an upstream.
 *
 * @param requests the open requests
 * @param pendingPrefillTokens the prompt tokens of these requests that are not prefilled yet
 */
public record RemoteWork(int requests, long pendingPrefillTokens) {
    /** No work. */
    public static final RemoteWork NONE = new RemoteWork(0, 0);

    /**
     * Returns the sum of this work and another one.
     *
     * @param other the work to add
     * @return the sum
     */
    public RemoteWork plus(RemoteWork other) {
        return new RemoteWork(requests + other.requests, pendingPrefillTokens + other.pendingPrefillTokens);
    }
}
