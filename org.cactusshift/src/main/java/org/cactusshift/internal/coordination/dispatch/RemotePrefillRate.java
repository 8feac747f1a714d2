package org.cactusshift.internal.coordination.dispatch;

/**
 * Estimates the rate at which other nodes send prompt tokens to the service's upstreams, by an exponentially decaying
 * sum.
 */
final class RemotePrefillRate {
    private static final double DECAY_TIME_MILLIS = 3_000;

    private double decayedTokens;
    private long updatedAtMillis;

    void add(long prefillTokens, long nowMillis) {
        decayedTokens = decayedTokens * decay(nowMillis) + prefillTokens;
        updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    }

    double tokensPerSecond(long nowMillis) {
        return decayedTokens * decay(nowMillis) * 1_000 / DECAY_TIME_MILLIS;
    }

    private double decay(long nowMillis) {
        return Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / DECAY_TIME_MILLIS);
    }
}
