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
    private static final double BURST_SECONDS = 10;
    private static final long REQUEST_LIMIT_RETRY_MILLIS = 1_000;

    private final Map<AccountId, Bucket> bucketByAccount = new HashMap<>();

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
     * Returns a limiter without accounts, which limits none.
     *
     * @return the limiter
     */
    public static AccountLimiter create() {
        return new AccountLimiter();
    }

    /**
     * Installs the limits; the usage of the accounts is retained. A limit of 0 or less means no limit.
     *
     * @param accounts the client accounts
     * @param nowMillis the current time
     */
    public void install(List<AccountConfig> accounts, long nowMillis) {
        Map<AccountId, Bucket> installed = new HashMap<>();
        for (AccountConfig account : accounts) {
            Bucket bucket = bucketByAccount.get(account.id());
            if (bucket == null) {
                bucket = new Bucket();
                bucket.tokens = account.tokensPerSecond() * BURST_SECONDS;
                bucket.filledAtMillis = nowMillis;
            } else {
                bucket.fill(nowMillis);
            }
            bucket.tokensPerSecond = account.tokensPerSecond();
            bucket.maximumRequests = account.maximumConcurrentRequests();
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
    public long tryAdmit(AccountId account, long tokens, long nowMillis) {
        Bucket bucket = bucketByAccount.get(account);
        if (bucket == null) {
            return 0;
        }
        if (bucket.maximumRequests > 0 && bucket.localRequests + bucket.remoteRequests >= bucket.maximumRequests) {
            return REQUEST_LIMIT_RETRY_MILLIS;
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
     * Records the end of an admitted request and corrects the estimated usage.
     *
     * @param account the client account
     * @param estimatedTokens the tokens charged by {@link #tryAdmit}
     * @param actualTokens the tokens actually used
     */
    public void onEnd(AccountId account, long estimatedTokens, long actualTokens) {
        Bucket bucket = bucketByAccount.get(account);
        if (bucket != null) {
            bucket.tokens += estimatedTokens - actualTokens;
            bucket.localRequests = Math.max(0, bucket.localRequests - 1);
        }
    }

    /**
     * Records the usage served by other nodes since the last call.
     *
     * @param account the client account
     * @param tokens the prompt and output tokens
     * @param requestsInFlight the requests currently open at other nodes
     * @param nowMillis the current time
     */
    public void onRemoteUsage(AccountId account, long tokens, int requestsInFlight, long nowMillis) {
        Bucket bucket = bucketByAccount.get(account);
        if (bucket != null) {
            bucket.fill(nowMillis);
            bucket.tokens -= tokens;
            bucket.remoteRequests = requestsInFlight;
        }
    }
}
