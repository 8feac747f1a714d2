package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.cactusshift.systemtest.CallResult.Outcome;
import org.cactusshift.systemtest.TrafficCall.Kind;
import org.junit.jupiter.api.Test;

/** Makes the key-value store unavailable, or drops its responses, while the site is under traffic. */
class StoreLossTest extends FaultTest {
    private static final int LOST_RESPONSE_COUNT = 30;

    @Test
    void chatsAndBalanceQueriesAreServedWhileStoreIsUnavailable() throws Exception {
        site.platform().keyValueService().faults().setUnavailable(true);
        site.awaitStoreContactAge(3 * FaultTestSite.TIMING.leaseTtlMillis());
        traffic.awaitAnswered(Kind.STREAMED_CHAT, AWAITED_CALLS);
        traffic.awaitAnswered(Kind.BALANCE, AWAITED_CALLS);
        site.platform().keyValueService().faults().setUnavailable(false);
        traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
        TrafficChecks checks = finish();
        assertEquals(
                List.of(),
                checks.resultsOf(
                        Set.of(Kind.STREAMED_CHAT, Kind.WHOLE_CHAT, Kind.BALANCE),
                        Set.of(Outcome.LOST, Outcome.UNKNOWN, Outcome.ENDED_EARLY, Outcome.NOT_RUN)),
                "failed chats and balance queries, which do not need the store");
        checks.assertUsageEqualsServed();
    }

    @Test
    void lostResponsesOfWritesCauseNoDuplicates() throws Exception {
        for (int round = 0; round < 3; round++) {
            site.platform()
                    .keyValueService()
                    .faults()
                    .dropResponses(
                            LOST_RESPONSE_COUNT, request -> request.path().equals("/v3/kv/txn"));
            traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
        }
        site.platform().keyValueService().faults().clear();
        traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
        finish().assertUsageEqualsServed();
    }
}
