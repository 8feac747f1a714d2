package org.cactusshift.internal.coordination.serving;

/**
 * The open requests of one or more nodes at an upstream.
 *
 * @param requests the open requests
 * @param pendingPrefillTokens the prompt tokens of these requests that are not prefilled yet
 */
public record RemoteWork(int requests, long pendingPrefillTokens) {
    /** No requests. */
    public static final RemoteWork NONE = new RemoteWork(0, 0);

    /**
     * Returns the sum of these requests and others.
     *
     * @param other the requests to add
     * @return the sum
     */
    public RemoteWork plus(RemoteWork other) {
        return new RemoteWork(requests + other.requests, pendingPrefillTokens + other.pendingPrefillTokens);
    }
}
