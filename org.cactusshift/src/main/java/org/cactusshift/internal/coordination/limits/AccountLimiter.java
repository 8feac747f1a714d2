package org.cactusshift.internal.coordination.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.id.AccountId;

/**
 * Keeps each client account under its tokens a second and its open requests, over the whole site.
 *
 * <p>Every node charges a token bucket of the site-wide rate with its own work at once and with the work of other nodes
 * as summaries tell of it. Between two summaries a node does not know of the others' admissions, so with {@code n}
 * nodes the site admits at most {@code (n - 1)} times what one node admits in a summary period above the limit; the
 * excess is charged afterwards, so that the sustained rate is the limit. Open requests are counted in the same way.
 */
public final class AccountLimiter {
    private static final double BURST_SECONDS = 10;
    private static final long FULL_RETRY_MILLIS = 1_000;

    private final Map<AccountId, Bucket> buckets = new HashMap<>();

    private AccountLimiter() {}

    private static final class Bucket {
        double tokensPerSecond;
        int maximumRequests;
        double tokens;
        long filledAtMillis;
        int localRequests;
        int remoteRequests;

        void fill(long nowMillis) {
            double earned = tokensPerSecond * Math.max(0, nowMillis - filledAtMillis) / 1_000;
            tokens = Math.min(tokensPerSecond * BURST_SECONDS, tokens + earned);
            filledAtMillis = Math.max(filledAtMillis, nowMillis);
        }
    }

    /**
     * Returns a limiter that knows no account and limits none.
     *
     * @return the limiter
     */
    public static AccountLimiter create() {
        return new AccountLimiter();
    }

    /**
     * Installs the limits; what accounts have used is kept. A limit of 0 or less is no limit.
     *
     * @param accounts the client accounts
     * @param nowMillis the present time
     */
    public void install(List<AccountConfig> accounts, long nowMillis) {
        Map<AccountId, Bucket> kept = new HashMap<>();
        for (AccountConfig account : accounts) {
            Bucket bucket = buckets.get(account.id());
            if (bucket == null) {
                bucket = new Bucket();
                bucket.tokens = account.tokensPerSecond() * BURST_SECONDS;
                bucket.filledAtMillis = nowMillis;
            } else {
                bucket.fill(nowMillis);
            }
            bucket.tokensPerSecond = account.tokensPerSecond();
            bucket.maximumRequests = account.maximumConcurrentRequests();
            kept.put(account.id(), bucket);
        }
        buckets.clear();
        buckets.putAll(kept);
    }

    /**
     * Admits a request, or says when to come back.
     *
     * @param account the client account
     * @param tokens the expected prompt and output tokens
     * @param nowMillis the present time
     * @return 0 when the request is admitted and counted, else the time after which it may be, in milliseconds
     */
    public long tryAdmit(AccountId account, long tokens, long nowMillis) {
        Bucket bucket = buckets.get(account);
        if (bucket == null) {
            return 0;
        }
        if (bucket.maximumRequests > 0 && bucket.localRequests + bucket.remoteRequests >= bucket.maximumRequests) {
            return FULL_RETRY_MILLIS;
        }
        bucket.fill(nowMillis);
        if (bucket.tokensPerSecond > 0 && bucket.tokens <= 0) {
            return 1 + (long) (-bucket.tokens * 1_000 / bucket.tokensPerSecond);
        }
        bucket.tokens -= tokens;
        bucket.localRequests++;
        return 0;
    }

    /**
     * Notes the end of an admitted request and corrects the estimate.
     *
     * @param account the client account
     * @param estimatedTokens what {@link #tryAdmit} charged
     * @param actualTokens what was used
     */
    public void onEnd(AccountId account, long estimatedTokens, long actualTokens) {
        Bucket bucket = buckets.get(account);
        if (bucket != null) {
            bucket.tokens += estimatedTokens - actualTokens;
            bucket.localRequests = Math.max(0, bucket.localRequests - 1);
        }
    }

    /**
     * Takes what other nodes served since the last call.
     *
     * @param account the client account
     * @param tokens prompt and output tokens
     * @param requestsInFlight requests now open at other nodes
     * @param nowMillis the present time
     */
    public void onRemoteUsage(AccountId account, long tokens, int requestsInFlight, long nowMillis) {
        Bucket bucket = buckets.get(account);
        if (bucket != null) {
            bucket.fill(nowMillis);
            bucket.tokens -= tokens;
            bucket.remoteRequests = requestsInFlight;
        }
    }
}
