package org.cactusshift.internal.coordination.configsync;

import org.cactusshift.config.TimingConfig;

/**
 * Periods of the distribution, in milliseconds.
 *
 * @param decisionPeriodMillis the period at which the next steps are decided
 * @param headReadPeriodMillis the period at which a relay reads the head
 * @param staleContactAgeMillis the age of the last store contact beyond which a node that is no relay reads the
 *     head itself
 * @param retryDelayMillis the pause after a failed step
 */
public record DistributionTiming(
        long decisionPeriodMillis, long headReadPeriodMillis, long staleContactAgeMillis, long retryDelayMillis) {
    private static final long DECISION_PERIOD_MILLIS = 50;
    private static final int HEAD_READS_PER_KEY_FRESHNESS = 4;

    /**
     * Returns periods that leave a node three reads to keep its keys fresh.
     *
     * @param timing the site's timing
     * @return the periods
     */
    public static DistributionTiming of(TimingConfig timing) {
        long read = timing.keyFreshnessMillis() / HEAD_READS_PER_KEY_FRESHNESS;
        return new DistributionTiming(DECISION_PERIOD_MILLIS, read, 2 * read, Math.min(read, timing.heartbeatMillis()));
    }

    /**
     * Returns the periods of a node that has no configuration yet.
     *
     * @return the periods
     */
    public static DistributionTiming beforeFirstConfig() {
        return new DistributionTiming(DECISION_PERIOD_MILLIS, 1000, 2000, 500);
    }
}
