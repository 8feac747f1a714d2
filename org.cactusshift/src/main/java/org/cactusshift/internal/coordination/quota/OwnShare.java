package org.cactusshift.internal.coordination.quota;

import java.util.random.RandomGenerator;

/**
 * The share of a quota by which a node admits requests while no coordinator answers it. The share starts empty, since
 * the coordinator may have granted a whole burst just before.
 */
final class OwnShare {
    /**
     * While the coordinator may still grant this node's share to others, all nodes together admit at most what the
     * quota allows in this time; half of the tolerance of the rule for a burst of one second.
     */
    private static final double OVERLAP_MILLIS = 500;

    /** The part of the share that is used; requests that are admitted by chance exceed it at times. */
    private static final double USED_PART = 0.8;

    /** What a node may save up in addition to its part of the burst, as a time at the rate. */
    private static final double SAVED_MILLIS = 1_500;

    /** A longer time between two refills, as after a freeze, adds no more than this. */
    private static final long MAXIMUM_REFILL_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final QuotaTime since;
    private double available;
    private long refilledAtMillis;

    /** Starts with the first request that was not answered. */
    OwnShare(QuotaTime since) {
        this.since = since;
        this.refilledAtMillis = since.monotonicMillis();
    }

    QuotaTime since() {
        return since;
    }

    void refill(AccountQuota quota, QuotaSite site, QuotaTime now) {
        long silenceMillis = QuotaSite.silenceMillis(site.nodes());
        double part = now.millisSince(since) < silenceMillis
                ? Math.min(USED_PART, OVERLAP_MILLIS / Math.min(silenceMillis, QuotaSite.WINDOW_MILLIS))
                : USED_PART;
        long elapsedMillis = Math.min(MAXIMUM_REFILL_MILLIS, Math.max(0, now.monotonicMillis() - refilledAtMillis));
        double perMilli = quota.ratePerSecond() * part / site.nodes() / MILLIS_PER_SECOND;
        double limit = quota.burst() * part / site.nodes() + perMilli * SAVED_MILLIS;
        available = Math.min(limit, available + perMilli * elapsedMillis);
        refilledAtMillis = Math.max(refilledAtMillis, now.monotonicMillis());
    }

    /**
     * Takes the cost of a request. One that costs more than is available is admitted with the probability that makes
     * the mean equal to the share: with 84 nodes a share of one second is less than one long prompt costs.
     */
    boolean tryTake(long cost, RandomGenerator random) {
        if (available >= cost) {
            available -= cost;
            return true;
        }
        boolean admitted = random.nextDouble() * cost < available;
        available = 0;
        return admitted;
    }
}
