package org.cactusshift.internal.coordination.store;

/**
 * A token bucket with a reserve for urgent calls; the present time is an argument.
 *
 * <p>Not safe for use by several threads; its owner holds a lock.
 */
final class TokenBucket {
    /** The part of the bucket that calls other than urgent ones leave alone. */
    private static final double RESERVED_SHARE = 0.25;

    private static final double MINIMUM_CAPACITY_CALLS = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double callsPerSecond;

    private final double capacityCalls;

    private double availableCalls;

    private long lastNanos;

    private TokenBucket(double callsPerSecond, double capacityCalls, long nowNanos) {
        this.callsPerSecond = callsPerSecond;
        this.capacityCalls = capacityCalls;
        this.availableCalls = capacityCalls;
        this.lastNanos = nowNanos;
    }

    /** Creates a full bucket, large enough for its reserve to hold a call. */
    static TokenBucket create(double callsPerSecond, double burstSeconds, long nowNanos) {
        double capacityCalls = Math.max(MINIMUM_CAPACITY_CALLS, callsPerSecond * burstSeconds);
        return new TokenBucket(callsPerSecond, capacityCalls, nowNanos);
    }

    /** Takes one call, or none when too few are left for its urgency. */
    boolean tryTake(boolean urgent, long nowNanos) {
        double gained = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND * callsPerSecond;
        availableCalls = Math.min(capacityCalls, availableCalls + gained);
        lastNanos = Math.max(lastNanos, nowNanos);
        double reservedCalls = urgent ? 0 : capacityCalls * RESERVED_SHARE;
        if (availableCalls - 1 < reservedCalls) {
            return false;
        }
        availableCalls--;
        return true;
    }
}
