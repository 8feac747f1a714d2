package org.cactusshift.internal.coordination.configsync;

import org.cactusshift.config.TimingConfig;

/**
 * Periods and delays of the configuration distribution, in milliseconds.
 *
 * @param decisionPeriodMillis the period at which the next steps are decided
 * @param headReadPeriodMillis the period at which a node that reads the head, such as a relay, reads it
 * @param staleContactAgeMillis the age of the last store contact beyond which a node that is no relay reads the
 *     head itself
 * @param retryDelayMillis the shortest time between two attempts to open the watch, to follow a relay or to fetch a
 *     first configuration
 */
public record DistributionTiming(
        long decisionPeriodMillis, long headReadPeriodMillis, long staleContactAgeMillis, long retryDelayMillis) {
    private static final long DECISION_PERIOD_MILLIS = 50;
    private static final int HEAD_READS_PER_KEY_FRESHNESS = 4;

    /**
     * Returns the timing for a site's settings.
     *
     * <p>The head is read four times per key freshness limit: after a read, three more fall within the limit.
     *
     * @param timing the timing settings of the site
     * @return the timing
     */
    public static DistributionTiming of(TimingConfig timing) {
        long headReadPeriodMillis = timing.keyFreshnessMillis() / HEAD_READS_PER_KEY_FRESHNESS;
        return new DistributionTiming(
                DECISION_PERIOD_MILLIS,
                headReadPeriodMillis,
                // A store contact is stale after two read periods.
                2 * headReadPeriodMillis,
                Math.min(headReadPeriodMillis, timing.heartbeatMillis()));
    }

    /**
     * Returns the timing of a node that has no configuration yet.
     *
     * @return the timing
     */
    public static DistributionTiming beforeFirstConfig() {
        // Head read period, stale contact age and retry delay.
        return new DistributionTiming(DECISION_PERIOD_MILLIS, 1000, 2000, 500);
    }
}
