package org.cactusshift.internal.coordination.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.id.AccountId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AccountLimiterTest {
    private static final AccountId ACCOUNT = AccountId.fromString("fonds");

    /** Returns a limiter with the limits of one client account; 0 means no limit. */
    private static AccountLimiter limiter(long tokensPerSecond, int openRequests) {
        AccountLimiter limiter = AccountLimiter.create();
        limiter.install(List.of(new AccountConfig(ACCOUNT, 1, tokensPerSecond, openRequests, List.of(), List.of())), 0);
        return limiter;
    }

    @ParameterizedTest
    @CsvSource({"1, 100, 500", "4, 100, 500", "8, 50, 1000"})
    void limitsTheSiteRateWithUsageExchangedByHeartbeats(int nodes, int requestTokens, int heartbeatMillis) {
        long tokensPerSecond = 2_000;
        AccountLimiter[] limiters = new AccountLimiter[nodes];
        long[] usedSinceHeartbeat = new long[nodes];
        for (int i = 0; i < nodes; i++) {
            limiters[i] = limiter(tokensPerSecond, 0);
        }
        long admitted = 0;
        for (long nowMillis = 1; nowMillis <= 60_000; nowMillis++) {
            int node = (int) (nowMillis % nodes);
            if (limiters[node].admitOrRetryAfterMillis(ACCOUNT, requestTokens, nowMillis) == 0) {
                limiters[node].onEnd(ACCOUNT, requestTokens, requestTokens);
                admitted += requestTokens;
                usedSinceHeartbeat[node] += requestTokens;
            }
            if (nowMillis % heartbeatMillis == 0) {
                for (int to = 0; to < nodes; to++) {
                    for (int from = 0; from < nodes; from++) {
                        if (from != to) {
                            limiters[to].onRemoteUsage(ACCOUNT, usedSinceHeartbeat[from], 0, nowMillis);
                        }
                    }
                }
                usedSinceHeartbeat = new long[nodes];
            }
        }
        long sustained = tokensPerSecond * 60;
        // A token bucket holds the tokens of 10 s.
        long burst = tokensPerSecond * 10;
        // The excess bound in the documentation of AccountLimiter: each node receives one request every {nodes} ms. One
        // request of each node is added to it below, as a request is admitted while any token is left.
        long unreported = (long) (nodes - 1) * requestTokens * (heartbeatMillis / nodes + 1);
        assertTrue(admitted >= 0.9 * sustained, "admitted " + admitted);
        assertTrue(admitted <= sustained + burst + unreported + (long) nodes * requestTokens, "admitted " + admitted);
    }

    @Test
    void countsOpenRequestsOfOtherNodes() {
        AccountLimiter limiter = limiter(0, 3);
        limiter.onRemoteUsage(ACCOUNT, 0, 2, 0);
        assertEquals(0, limiter.admitOrRetryAfterMillis(ACCOUNT, 1, 0));
        assertTrue(limiter.admitOrRetryAfterMillis(ACCOUNT, 1, 0) > 0);
        limiter.onEnd(ACCOUNT, 1, 1);
        assertEquals(0, limiter.admitOrRetryAfterMillis(ACCOUNT, 1, 0));
    }

    @Test
    void returnsTheDelayUntilTheAccountHasTokensAgain() {
        AccountLimiter limiter = limiter(100, 0);
        assertEquals(0, limiter.admitOrRetryAfterMillis(ACCOUNT, 2_000, 0));
        long retryAfterMillis = limiter.admitOrRetryAfterMillis(ACCOUNT, 1, 0);
        // The bucket holds 1,000 tokens; the 1,000 taken beyond them are refilled in 10 s, and 1 ms later it has some.
        assertEquals(10_001, retryAfterMillis);
        assertTrue(limiter.admitOrRetryAfterMillis(ACCOUNT, 1, 9_000) > 0);
        assertEquals(0, limiter.admitOrRetryAfterMillis(ACCOUNT, 1, retryAfterMillis));
    }
}
