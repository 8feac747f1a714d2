package org.cactusshift.internal.coordination.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AccountCreditTest implements AccountCredit.Listener<String> {
    private static final AccountId ACCOUNT = AccountId.fromString("a");
    private static final AccountQuota QUOTA = new AccountQuota(10, 10, AccountQuota.Unit.REQUESTS, 0);
    private static final QuotaSite SITE = new QuotaSite(4, 4);

    private final List<String> admitted = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();
    private long retryAfterMillis;
    private long sequence;
    private AccountCredit<String> credit = newCredit();
    private AccountCredit.Charge charge;

    private AccountCredit<String> newCredit() {
        return AccountCredit.create(
                new AccountCredit.Owner(InstanceId.fromString("n"), IncarnationId.fromString("i"), ACCOUNT),
                this,
                new SplittableRandom(1),
                () -> ++sequence);
    }

    @Override
    public void onAdmitted(String request, AccountCredit.Charge charged) {
        admitted.add(request);
        charge = charged;
    }

    @Override
    public void onRefused(String request, long refusedForMillis) {
        refused.add(request);
        retryAfterMillis = refusedForMillis;
    }

    private static QuotaTime time(long millis) {
        return new QuotaTime(millis, millis);
    }

    private static QuotaGrant grant(QuotaRequest request, long granted) {
        return new QuotaGrant(ACCOUNT, request.sequence(), granted, QuotaCoordinator.CREDIT_TTL_MILLIS, 500);
    }

    private QuotaRequest submit(String request, QuotaTime now) {
        credit.submit(request, 1, QUOTA, SITE, now);
        return credit.nextRequest(now);
    }

    /** Guards against a frozen node that uses credit which its coordinator has long granted to others again. */
    @ParameterizedTest
    @CsvSource({"2000, 0", "0, 2000"})
    void creditExpiresByTheClockThatShowsItFirst(long monotonicMillis, long epochMillis) {
        QuotaRequest request = submit("first", time(0));
        credit.onGrant(grant(request, 5), time(3));
        assertEquals(List.of("first"), admitted);
        credit.submit("late", 1, QUOTA, SITE, new QuotaTime(3 + monotonicMillis, 3 + epochMillis));
        assertEquals(List.of("first"), admitted);
    }

    /** Guards against a datagram that is delivered twice and admits twice. */
    @Test
    void repeatedAnswerHasNoEffect() {
        QuotaRequest request = submit("first", time(0));
        credit.onGrant(grant(request, 1), time(3));
        credit.onGrant(grant(request, 1), time(4));
        credit.submit("second", 1, QUOTA, SITE, time(5));
        assertEquals(List.of("first"), admitted);
    }

    @Test
    void creditOfARequestThatReachedNoUpstreamServesTheNextOne() {
        credit.onGrant(grant(submit("first", time(0)), 1), time(3));
        credit.giveBack(charge);
        credit.submit("second", 1, QUOTA, SITE, time(10));
        assertEquals(List.of("first", "second"), admitted);
    }

    @Test
    void requestWithoutAnswerIsDecidedAfterItsWait() {
        submit("first", time(0));
        credit.tick(QUOTA, SITE, time(AccountCredit.MAXIMUM_WAIT_MILLIS - 1));
        assertEquals(List.of(), refused);
        credit.tick(QUOTA, SITE, time(AccountCredit.MAXIMUM_WAIT_MILLIS));
        assertEquals(List.of("first"), refused);
    }

    /** Guards against an account without answers for minutes after its limit was removed and restored. */
    @Test
    void creditThatIsCreatedAgainGetsAnswers() {
        QuotaCoordinator coordinator = QuotaCoordinator.create(time(0));
        for (int i = 0; i < 3; i++) {
            long start = 1_000 + 200 * i;
            QuotaRequest request = submit("first", time(start));
            credit.onGrant(coordinator.onRequest(request, QUOTA, SITE, time(start)), time(start));
        }
        credit = newCredit();
        QuotaRequest request = submit("second", time(1_700));
        assertEquals(1, coordinator.onRequest(request, QUOTA, SITE, time(1_700)).granted());
    }

    /** Guards against one request that is granted in full and leaves a debt of hours. */
    @ParameterizedTest
    @CsvSource({"10, 10, 90", "0.01, 0, 1"})
    void requestThatCanNotBeWithinTheQuotaIsRefused(double rate, double burst, long maximumCost) {
        AccountQuota quota = new AccountQuota(rate, burst, AccountQuota.Unit.TOKENS, 0);
        credit.submit("largest", maximumCost, quota, SITE, time(0));
        assertEquals(List.of(), refused);
        credit.submit("larger", maximumCost + 1, quota, SITE, time(0));
        assertEquals(List.of("larger"), refused);
        assertEquals(QuotaSite.WINDOW_MILLIS, retryAfterMillis);
    }

    /** Asks at a time, gets an empty answer at once and returns for how long the node refuses then. */
    private long pauseAfterEmptyAnswer(long atMillis, QuotaSite site) {
        credit.submit("empty", 1, QUOTA, site, time(atMillis));
        credit.onGrant(grant(credit.nextRequest(time(atMillis)), 0), time(atMillis));
        credit.submit("paused", 1, QUOTA, site, time(atMillis));
        return retryAfterMillis;
    }

    /** Guards against a node of a large site that refuses for seconds since one answer was empty. */
    @Test
    void pauseGrowsWhileAnswersStayEmptyAndIsResetByAGrant() {
        QuotaSite site = new QuotaSite(40, 40);
        assertEquals(50, pauseAfterEmptyAnswer(0, site));
        assertEquals(100, pauseAfterEmptyAnswer(1_000, site));
        assertEquals(160, pauseAfterEmptyAnswer(1_500, site));
        assertEquals(160, pauseAfterEmptyAnswer(2_000, site));
        credit.onGrant(grant(submit("granted", time(2_500)), 1), time(2_500));
        assertEquals(List.of("granted"), admitted);
        assertEquals(50, pauseAfterEmptyAnswer(3_000, site));
    }

    /** Guards against small requests that are refused since a large one waits first. */
    @Test
    void minimumIsTheSmallestWaitingCost() {
        credit.submit("large", 50, QUOTA, SITE, time(0));
        credit.submit("small", 2, QUOTA, SITE, time(0));
        QuotaRequest request = credit.nextRequest(time(0));
        assertEquals(2, request.minimum());
        credit.onGrant(grant(request, 2), time(3));
        assertEquals(List.of("small"), admitted);
        assertEquals(List.of("large"), refused);
    }

    /** Guards against expired stock that is spent when an answer is the first event after a freeze. */
    @Test
    void answerAfterAFreezeDoesNotSpendExpiredStock() {
        credit.onGrant(grant(submit("first", time(0)), 4), time(3));
        credit.submit("large", 5, QUOTA, SITE, time(1_850));
        QuotaRequest request = credit.nextRequest(time(1_850));
        assertEquals(2, request.wanted());
        credit.onGrant(grant(request, 2), time(2_100));
        assertEquals(List.of("first"), admitted);
        assertEquals(List.of("large"), refused);
    }

    /** Guards against a request within the quota that is refused since the stock expired before the answer. */
    @Test
    void stockThatMayExpireBeforeTheAnswerIsNotCountedOn() {
        credit.onGrant(grant(submit("first", time(0)), 4), time(3));
        credit.submit("large", 5, QUOTA, SITE, time(1_999));
        QuotaRequest request = credit.nextRequest(time(1_999));
        credit.onGrant(grant(request, request.wanted()), time(2_003));
        assertEquals(List.of("first", "large"), admitted);
    }

    /** Guards against a repeated request that is charged twice, and an old one that gets credit again. */
    @Test
    void coordinatorAnswersEachRequestOnce() {
        QuotaCoordinator coordinator = QuotaCoordinator.create(time(0));
        QuotaRequest first = submit("first", time(1_000));
        QuotaGrant answer = coordinator.onRequest(first, QUOTA, SITE, time(1_001));
        assertEquals(answer, coordinator.onRequest(first, QUOTA, SITE, time(1_002)));
        credit.onGrant(answer, time(1_003));
        QuotaRequest second = submit("second", time(1_100));
        assertEquals(1, coordinator.onRequest(second, QUOTA, SITE, time(1_101)).granted());
        assertNull(coordinator.onRequest(first, QUOTA, SITE, time(1_102)));
    }
}
