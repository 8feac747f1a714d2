package org.cactusshift.internal.coordination.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.id.AccountId;

/**
 * Enforces the limits of each client account on tokens per second and on open requests, over the whole site.
 *
 * <p>Every node has a token bucket with the site-wide rate. It charges its own work immediately and the work of other
 * nodes when their heartbeats arrive. Between two heartbeats a node does not know the admissions of the others, so with
 * {@code n} nodes the site exceeds the limit by at most {@code (n - 1)} times what one node admits in a heartbeat
 * period; the excess is charged afterwards, so that the sustained rate is the limit. Open requests are counted in the
 * same way.
 */
public final class AccountLimiter {
    /** The size of a token bucket, as the time in which the site-wide rate fills it. */
    private static final double BURST_SECONDS = 10;

    /** The delay before a retry when the limit on open requests is reached. */
    private static final long REQUEST_LIMIT_RETRY_MILLIS = 1_000;

    private final Map<AccountId, Bucket> bucketByAccount = new HashMap<>();

    private AccountLimiter() {}

    private static final class Bucket {
        double tokensPerSecond;
        int maximumOpenRequests;
        /** May be negative: a request is admitted while this is above 0, and then charged in full. */
        double availableTokens;

        long refilledAtMillis;
        int localOpenRequests;
        int remoteOpenRequests;

        void refill(long nowMillis) {
            double refilled = tokensPerSecond * Math.max(0, nowMillis - refilledAtMillis) / 1_000;
            availableTokens = Math.min(tokensPerSecond * BURST_SECONDS, availableTokens + refilled);
            refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
        }
    }

    /**
     * Returns a limiter without limits; an account that is not installed is not limited.
     *
     * @return the limiter
     */
    public static AccountLimiter create() {
        return new AccountLimiter();
    }

    /**
     * Installs the limits; the usage of the accounts is retained. A limit of 0 or less means no limit.
     *
     * @param accounts the client accounts; others are no longer limited, and their usage is dropped
     * @param nowMillis the current time
     */
    public void install(List<AccountConfig> accounts, long nowMillis) {
        Map<AccountId, Bucket> installed = new HashMap<>();
        for (AccountConfig account : accounts) {
            Bucket bucket = bucketByAccount.get(account.id());
            if (bucket == null) {
                bucket = new Bucket();
                bucket.availableTokens = account.tokensPerSecond() * BURST_SECONDS;
                bucket.refilledAtMillis = nowMillis;
            } else {
                bucket.refill(nowMillis);
            }
            bucket.tokensPerSecond = account.tokensPerSecond();
            bucket.maximumOpenRequests = account.maximumConcurrentRequests();
            installed.put(account.id(), bucket);
        }
        bucketByAccount.clear();
        bucketByAccount.putAll(installed);
    }

    /**
     * Admits a request, or returns when to retry.
     *
     * @param account the client account
     * @param tokens the expected prompt and output tokens
     * @param nowMillis the current time
     * @return 0 when the request is admitted and counted, otherwise the delay in milliseconds after which it may be
     *     admitted
     */
    public long admitOrRetryAfterMillis(AccountId account, long tokens, long nowMillis) {
        Bucket bucket = bucketByAccount.get(account);
        if (bucket == null) {
            return 0;
        }
        if (bucket.maximumOpenRequests > 0
                && bucket.localOpenRequests + bucket.remoteOpenRequests >= bucket.maximumOpenRequests) {
            return REQUEST_LIMIT_RETRY_MILLIS;
        }
        bucket.refill(nowMillis);
        if (bucket.tokensPerSecond > 0 && bucket.availableTokens <= 0) {
            return 1 + (long) (-bucket.availableTokens * 1_000 / bucket.tokensPerSecond);
        }
        bucket.availableTokens -= tokens;
        bucket.localOpenRequests++;
        return 0;
    }

    /**
     * Records the end of an admitted request and corrects the estimated usage.
     *
     * @param account the client account
     * @param estimatedTokens the tokens charged by {@link #admitOrRetryAfterMillis}
     * @param actualTokens the tokens actually used
     */
    public void onEnd(AccountId account, long estimatedTokens, long actualTokens) {
        Bucket bucket = bucketByAccount.get(account);
        if (bucket != null) {
            bucket.availableTokens += estimatedTokens - actualTokens;
            bucket.localOpenRequests = Math.max(0, bucket.localOpenRequests - 1);
        }
    }

    /**
     * Charges the tokens that other nodes served to an account, and records how many of its requests are open there.
     *
     * @param account the client account
     * @param tokensSinceLastCall the prompt and output tokens served since the last call
     * @param openRequests the number of requests now open at all other nodes, which replaces the former value
     * @param nowMillis the current time
     */
    public void onRemoteUsage(AccountId account, long tokensSinceLastCall, int openRequests, long nowMillis) {
        Bucket bucket = bucketByAccount.get(account);
        if (bucket != null) {
            bucket.refill(nowMillis);
            bucket.availableTokens -= tokensSinceLastCall;
            bucket.remoteOpenRequests = openRequests;
        }
    }
}
