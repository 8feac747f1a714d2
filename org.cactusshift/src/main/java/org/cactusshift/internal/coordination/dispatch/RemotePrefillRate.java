package org.cactusshift.internal.coordination.dispatch;

/** Measures how fast other nodes send prompt tokens to the service's upstreams, with a decaying memory. */
final class RemotePrefillRate {
    private static final double MEMORY_MILLIS = 3_000;

    private double tokens;
    private long atMillis;

    void add(long prefillTokens, long nowMillis) {
        tokens = tokens * decay(nowMillis) + prefillTokens;
        atMillis = Math.max(atMillis, nowMillis);
    }

    double tokensPerSecond(long nowMillis) {
        return tokens * decay(nowMillis) * 1_000 / MEMORY_MILLIS;
    }

    private double decay(long nowMillis) {
        return Math.exp(-Math.max(0, nowMillis - atMillis) / MEMORY_MILLIS);
    }
}
