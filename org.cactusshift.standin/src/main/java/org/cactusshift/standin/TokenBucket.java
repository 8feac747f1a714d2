package org.cactusshift.standin;

/** A token bucket that holds one second's worth, and at least one unit; the present time is an argument. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double unitsPerSecond;

    private final double capacity;

    private double available;

    private long lastNanos;

    /** Creates a full bucket; a rate of 0 stands for no limit. */
    TokenBucket(double unitsPerSecond, long nowNanos) {
        this.unitsPerSecond = unitsPerSecond;
        this.capacity = Math.max(1, unitsPerSecond);
        this.available = capacity;
        this.lastNanos = nowNanos;
    }

    /** Takes some units, or none when there are too few. */
    synchronized boolean tryAcquire(double units, long nowNanos) {
        if (unitsPerSecond <= 0) {
            return true;
        }
        double gained = (nowNanos - lastNanos) / NANOS_PER_SECOND * unitsPerSecond;
        available = Math.min(capacity, available + gained);
        lastNanos = nowNanos;
        if (available < units) {
            return false;
        }
        available -= units;
        return true;
    }
}
