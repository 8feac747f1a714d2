package org.cactusshift.internal.coordination.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * Keeps the token buckets of the accounts that this node coordinates and grants credit from them. A grant is taken from
 * the bucket when it is given; credit that no node uses within its validity is lost to the account.
 */
public final class QuotaCoordinator {
    /** How long granted credit is valid. */
    static final long CREDIT_TTL_MILLIS = 2_000;

    /** A longer pause between two ticks means that the process was frozen, and another node may have taken over. */
    private static final long MAXIMUM_TICK_GAP_MILLIS = 2_000;

    /** A bucket that nobody used for so long is dropped; a new one starts with what has been filled since. */
    private static final long IDLE_BUCKET_MILLIS = 30_000;

    /** The smallest bucket, as a time at the rate, for quotas without a burst. */
    private static final double MINIMUM_BUCKET_MILLIS = 100;

    /** Callers don't respect a delay that is longer than the window. */
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = QuotaSite.WINDOW_MILLIS;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<AccountId, Bucket> bucketByAccount = new HashMap<>();
    private QuotaTime emptySince;
    private QuotaTime lastTick;

    private QuotaCoordinator(QuotaTime now) {
        this.emptySince = now;
        this.lastTick = now;
    }

    /** The last answer to a node, repeated when its request arrives again. */
    private record Answer(IncarnationId incarnation, QuotaGrant grant) {}

    private static final class Bucket {
        final Map<InstanceId, Answer> answerByNode = new HashMap<>();
        double available;
        long refilledAtMillis;
        long usedAtMillis;

        void refill(AccountQuota quota, QuotaSite site, long nowMillis) {
            double share = site.heardShare();
            double refilled =
                    quota.ratePerSecond() * share * Math.max(0, nowMillis - refilledAtMillis) / MILLIS_PER_SECOND;
            available = Math.min(capacity(quota) * share, available + refilled);
            refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
        }
    }

    /**
     * Returns a coordinator whose buckets are empty, since another node may have granted a whole burst just before.
     *
     * @param now the current time
     * @return the coordinator
     */
    public static QuotaCoordinator create(QuotaTime now) {
        return new QuotaCoordinator(now);
    }

    /**
     * Returns the coordinator of an account, chosen by rendezvous hashing.
     *
     * @param account the client account
     * @param nodes the live nodes
     * @return the node; null when there are none
     */
    public static InstanceId choose(AccountId account, Collection<InstanceId> nodes) {
        long accountHash = RendezvousHash.hash("quota " + account.value());
        InstanceId best = null;
        long bestWeight = 0;
        for (InstanceId node : nodes) {
            long weight = RendezvousHash.combine(accountHash, RendezvousHash.hash(node.value()));
            int comparison = best == null ? 1 : Long.compareUnsigned(weight, bestWeight);
            if (comparison > 0 || (comparison == 0 && node.compareTo(best) < 0)) {
                best = node;
                bestWeight = weight;
            }
        }
        return best;
    }

    private static double capacity(AccountQuota quota) {
        return Math.max(1, Math.max(quota.burst(), quota.ratePerSecond() * MINIMUM_BUCKET_MILLIS / MILLIS_PER_SECOND));
    }

    /**
     * Records that the nodes of the site have changed: for accounts without a bucket this node may have become the
     * coordinator only now, so their buckets start empty at this time.
     *
     * @param now the current time
     */
    public void onNodesChanged(QuotaTime now) {
        emptySince = now;
    }

    /**
     * Drops the bucket of an account that another node coordinates.
     *
     * @param account the client account
     */
    public void drop(AccountId account) {
        bucketByAccount.remove(account);
    }

    /**
     * Drops idle buckets, and all of them when the process was frozen. To be called several times a second.
     *
     * @param now the current time
     */
    public void tick(QuotaTime now) {
        if (now.millisSince(lastTick) > MAXIMUM_TICK_GAP_MILLIS) {
            bucketByAccount.clear();
            emptySince = now;
        }
        lastTick = now;
        bucketByAccount.values().removeIf(bucket -> now.monotonicMillis() - bucket.usedAtMillis > IDLE_BUCKET_MILLIS);
    }

    /**
     * Answers a request. A request that arrives again gets the same answer, an older one none.
     *
     * @param request the request
     * @param quota the quota of its account
     * @param site the nodes of the site
     * @param now the current time
     * @return the answer; null for a request that is older than the last one of its node
     */
    public QuotaGrant onRequest(QuotaRequest request, AccountQuota quota, QuotaSite site, QuotaTime now) {
        if (now.millisSince(lastTick) > MAXIMUM_TICK_GAP_MILLIS) {
            // The first request after the process was frozen, before the first tick.
            tick(now);
        }
        Bucket bucket = bucketByAccount.computeIfAbsent(request.account(), account -> newBucket());
        bucket.usedAtMillis = now.monotonicMillis();
        bucket.refill(quota, site, now.monotonicMillis());
        Answer last = bucket.answerByNode.get(request.node());
        if (last != null && last.incarnation.equals(request.incarnation())) {
            if (request.sequence() == last.grant.sequence()) {
                return last.grant;
            } else if (request.sequence() < last.grant.sequence()) {
                return null;
            }
        }
        double limit = capacity(quota) * site.heardShare();
        bucket.available = Math.min(limit, bucket.available + Math.max(0, request.returned()));
        QuotaGrant grant = grant(request, quota, site, bucket, limit);
        bucket.answerByNode.put(request.node(), new Answer(request.incarnation(), grant));
        return grant;
    }

    private Bucket newBucket() {
        Bucket bucket = new Bucket();
        bucket.refilledAtMillis = emptySince.monotonicMillis();
        return bucket;
    }

    private static QuotaGrant grant(
            QuotaRequest request, AccountQuota quota, QuotaSite site, Bucket bucket, double limit) {
        // A request that costs more than the whole bucket is granted when the bucket is full, and leaves a debt.
        double needed = Math.min(request.minimum(), limit);
        long granted = 0;
        if (request.wanted() > 0 && bucket.available >= needed) {
            granted = Math.max(request.minimum(), Math.min(request.wanted(), (long) bucket.available));
            bucket.available -= granted;
        }
        double missing = Math.min(limit, Math.max(1, request.wanted() - granted)) - bucket.available;
        double waitMillis = missing * MILLIS_PER_SECOND / (quota.ratePerSecond() * site.heardShare());
        long retryAfterMillis = (long) Math.ceil(Math.max(1, Math.min(MAXIMUM_RETRY_AFTER_MILLIS, waitMillis)));
        return new QuotaGrant(request.account(), request.sequence(), granted, CREDIT_TTL_MILLIS, retryAfterMillis);
    }
}
