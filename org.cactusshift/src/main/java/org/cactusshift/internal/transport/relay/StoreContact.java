package org.cactusshift.internal.transport.relay;

import org.cactusshift.errors.Failure;

/** Tracks when the store was last read, and so whether it is unavailable and how old the state is that was read. */
final class StoreContact {
    /** The store counts as unavailable when a read fails this long after the last successful one. */
    private static final long UNAVAILABLE_AFTER_MILLIS = 1_500;

    /** The state is current while it is not older than the time that this many reads take. */
    private static final int CURRENT_READS = 2;

    /**
     * How long after the store has recovered a missing entry may be one that expired during the outage; upstreams
     * register again within this time.
     */
    private static final long RECOVERY_MILLIS = 3_000;

    /**
     * After this time without a read the changes take more bytes than the state: upstreams write their entries again
     * each 1,200 ms, and each version of the configuration is a change of its own.
     */
    private static final long FAR_BEHIND_MILLIS = 3_000;

    private final EventLog log;
    private final long maximumAgeMillis;

    /**
     * When the last read that succeeded was started, by this node or another one that told of it, or when following was
     * started; by the monotonic and the wall clock.
     */
    private long lastReadAtMillis;

    private long lastReadEpochMillis;
    private boolean unavailable;
    private long recoveredAtMillis = Long.MIN_VALUE / 2;

    private StoreContact(EventLog log, long longestPeriodMillis) {
        this.log = log;
        this.maximumAgeMillis = Math.max(UNAVAILABLE_AFTER_MILLIS, CURRENT_READS * longestPeriodMillis);
    }

    /**
     * Returns a tracker that knows of no read.
     *
     * @param log records when the store becomes unavailable and available
     * @param longestPeriodMillis the longest time between two reads
     */
    static StoreContact create(EventLog log, long longestPeriodMillis) {
        return new StoreContact(log, longestPeriodMillis);
    }

    void start(long nowMillis, long epochMillis) {
        lastReadAtMillis = nowMillis;
        lastReadEpochMillis = epochMillis;
    }

    /** Records a read that succeeded and was started at a time, by this node or another one. */
    void onRead(long readAtMillis, long nowMillis, long epochMillis) {
        if (unavailable) {
            unavailable = false;
            recoveredAtMillis = nowMillis;
            log.event("store.regained")
                    .with("awayMillis", nowMillis - lastReadAtMillis)
                    .write();
        }
        lastReadAtMillis = Math.max(lastReadAtMillis, readAtMillis);
        lastReadEpochMillis = epochMillis - (nowMillis - lastReadAtMillis);
    }

    void onReadFailed(Failure failure, long nowMillis) {
        if (!unavailable && nowMillis - lastReadAtMillis > UNAVAILABLE_AFTER_MILLIS) {
            unavailable = true;
            log.event("store.lost").with("failure", failure.toString()).write();
        }
    }

    /** Records that the store is back with a state in which entries of living upstreams may be missing. */
    void onRestored(long nowMillis) {
        recoveredAtMillis = nowMillis;
    }

    boolean isUnavailable() {
        return unavailable;
    }

    boolean wasRecentlyUnavailable(long nowMillis) {
        return nowMillis - recoveredAtMillis < RECOVERY_MILLIS;
    }

    /** Returns whether so much has changed since the last read that the state is shorter than its changes. */
    boolean isFarBehind(long nowMillis) {
        return nowMillis - lastReadAtMillis > FAR_BEHIND_MILLIS;
    }

    long lastReadAtMillis() {
        return lastReadAtMillis;
    }

    /**
     * Returns whether the state was read a short time ago. The monotonic clock stops while the machine is suspended, so
     * the time must be short by the wall clock too.
     */
    boolean isCurrent(long nowMillis, long epochMillis) {
        return nowMillis - lastReadAtMillis <= maximumAgeMillis
                && Math.abs(epochMillis - lastReadEpochMillis) <= maximumAgeMillis;
    }
}
