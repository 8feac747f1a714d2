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
    private final AccountCredit<String> credit = AccountCredit.create(
            new AccountCredit.Owner(InstanceId.fromString("n"), IncarnationId.fromString("i"), ACCOUNT),
            this,
            new SplittableRandom(1));
    private AccountCredit.Charge charge;

    @Override
    public void onAdmitted(String request, AccountCredit.Charge charged) {
        admitted.add(request);
        charge = charged;
    }

    @Override
    public void onRefused(String request, long retryAfterMillis) {
        refused.add(request);
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
