package org.cactusshift.standin;

/** A token bucket with a capacity of one second's rate, but at least one unit; the current time is an argument. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double unitsPerSecond;

    private final double capacity;

    private double available;

    private long lastRefillNanos;

    /** Creates a full bucket; a rate of 0 means no limit. */
    TokenBucket(double unitsPerSecond, long nowNanos) {
        this.unitsPerSecond = unitsPerSecond;
        this.capacity = Math.max(1, unitsPerSecond);
        this.available = capacity;
        this.lastRefillNanos = nowNanos;
    }

    /** Acquires the units and returns true, or returns false if too few are available. */
    synchronized boolean tryAcquire(double units, long nowNanos) {
        if (unitsPerSecond <= 0) {
            return true;
        }
        double refilled = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * unitsPerSecond;
        available = Math.min(capacity, available + refilled);
        lastRefillNanos = nowNanos;
        if (available < units) {
            return false;
        }
        available -= units;
        return true;
    }
}
