package org.cactusshift.internal.coordination.serving;

/**
 * The work of other nodes at an upstream.
 *
 * @param requests requests there
 * @param pendingPrefillTokens prompt tokens that these requests still wait for
 */
public record RemoteWork(int requests, long pendingPrefillTokens) {
    /** No work. */
    public static final RemoteWork NONE = new RemoteWork(0, 0);

    /**
     * Returns the sum of two.
     *
     * @param other the other
     * @return the sum
     */
    public RemoteWork plus(RemoteWork other) {
        return new RemoteWork(requests + other.requests, pendingPrefillTokens + other.pendingPrefillTokens);
    }
}
