package org.cactusshift.internal.coordination.usage;

/** Takes usage as it arises; never blocks. */
public interface UsageRecorder {
    /**
     * Adds the usage of an attempt.
     *
     * @param usage the usage
     * @param epochMillis the wall-clock time at which it ended
     */
    void record(UsageRecord usage, long epochMillis);
}
