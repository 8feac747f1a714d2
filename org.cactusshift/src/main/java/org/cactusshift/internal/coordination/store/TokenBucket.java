package org.cactusshift.internal.coordination.store;

/**
 * A token bucket with a reserve for urgent calls. The current time is an argument.
 *
 * <p>Not thread-safe; the owner must hold a lock.
 */
final class TokenBucket {
    /** The share of the capacity that only urgent calls, that is lease renewals, may use. */
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

    /** Creates a full bucket; the minimum capacity ensures that the reserve holds at least one call. */
    static TokenBucket create(double callsPerSecond, double burstSeconds, long nowNanos) {
        double capacityCalls = Math.max(MINIMUM_CAPACITY_CALLS, callsPerSecond * burstSeconds);
        return new TokenBucket(callsPerSecond, capacityCalls, nowNanos);
    }

    /** Takes a token for one call; returns false when too few are available for its urgency. */
    boolean tryTake(boolean urgent, long nowNanos) {
        double refilled = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND * callsPerSecond;
        availableCalls = Math.min(capacityCalls, availableCalls + refilled);
        lastNanos = Math.max(lastNanos, nowNanos);
        double reservedCalls = urgent ? 0 : capacityCalls * RESERVED_SHARE;
        if (availableCalls - 1 < reservedCalls) {
            return false;
        }
        availableCalls--;
        return true;
    }
}
