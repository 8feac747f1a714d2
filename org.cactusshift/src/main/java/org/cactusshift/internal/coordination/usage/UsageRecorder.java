package org.cactusshift.internal.coordination.usage;

/** Records the usage of attempts as they end; never blocks. */
public interface UsageRecorder {
    /**
     * Records the usage of an attempt.
     *
     * @param usage the usage
     * @param epochMillis the wall-clock time at which the attempt ended
     */
    void record(UsageRecord usage, long epochMillis);
}
