package org.cactusshift.internal.coordination.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/**
 * The credit of one account at one node: a small stock, and the requests that wait for a grant of the coordinator.
 *
 * @param <T> a request of a caller
 */
public final class AccountCredit<T> {
    /** How long a request waits for a grant; a round trip takes 2 to 4 ms, and a lost datagram is repeated once. */
    public static final long MAXIMUM_WAIT_MILLIS = 100;

    /** The shortest time between two datagrams to the coordinator. */
    static final long MESSAGE_INTERVAL_MILLIS = 50;

    /** The time between two datagrams to a coordinator that does not answer. */
    private static final long UNANSWERED_INTERVAL_MILLIS = 250;

    /** A request of this age is given up, since half of the validity of its grant is over. */
    private static final long MAXIMUM_REQUEST_AGE_MILLIS = 1_000;

    /**
     * How long a node that was granted nothing several times refuses requests without asking again. All nodes together
     * ask the coordinator of an account that grants nothing at most 250 times a second in vain.
     */
    private static final long REFUSAL_PAUSE_MILLIS_PER_NODE = 4;

    /** Without a request of a caller for so long the coordinator is assumed to answer again. */
    private static final long IDLE_MILLIS = 2_000;

    /** The stock, as a time at the recent rate: two message intervals. */
    private static final double STOCK_MILLIS = 2 * MESSAGE_INTERVAL_MILLIS;

    private static final double RATE_WINDOW_MILLIS = 1_000;

    /** The delay before the retry of a request that is refused while the coordinator does not answer. */
    private static final long UNANSWERED_RETRY_AFTER_MILLIS = 1_000;

    private final Owner owner;
    private final Listener<T> listener;
    private final RandomGenerator random;
    private final LongSupplier sequence;
    private final Deque<Lot> stock = new ArrayDeque<>();
    private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

    /** The request that the coordinator has not answered; null when there is none. */
    private QuotaRequest open;

    /** When the latest request was opened, also after its answer; null before the first one. */
    private QuotaTime openedAt;

    private long lastMessageMillis = Long.MIN_VALUE / 2;

    /** What this node may admit while the coordinator does not answer; null when it answers. */
    private OwnShare ownShare;

    /** The pause after the latest empty answer; 0 after a grant. */
    private long refusalPauseMillis;

    private long maximumRefusalPauseMillis;
    private long refusingUntilMillis = Long.MIN_VALUE;
    private long lastSubmitMillis = Long.MIN_VALUE / 2;
    private double recentCost;
    private long recentCostAtMillis;

    /**
     * Whose credit this is.
     *
     * @param node this node
     * @param incarnation its incarnation
     * @param account the client account
     */
    public record Owner(InstanceId node, IncarnationId incarnation, AccountId account) {}

    /**
     * Receives the decisions; called at most once for each request.
     *
     * @param <T> a request of a caller
     */
    public interface Listener<T> {
        /**
         * Is called for a request that may be sent.
         *
         * @param request the request
         * @param charge what was charged for it
         */
        void onAdmitted(T request, Charge charge);

        /**
         * Is called for a request over the quota.
         *
         * @param request the request
         * @param retryAfterMillis when credit is expected
         */
        void onRefused(T request, long retryAfterMillis);
    }

    /**
     * What an admitted request was charged.
     *
     * @param cost the credit
     * @param grantedSince from when the validity of the credit counts; null when it was taken from the node's own
     *     share and can't be returned
     */
    public record Charge(long cost, QuotaTime grantedSince) {}

    private record Lot(long amount, QuotaTime since) {}

    private static final class Waiting<T> {
        final T request;
        final long cost;
        final QuotaTime since;

        /** Whether the open request to the coordinator asks for its credit. */
        boolean isAsked;

        Waiting(T request, long cost, QuotaTime since) {
            this.request = request;
            this.cost = cost;
            this.since = since;
        }
    }

    private AccountCredit(Owner owner, Listener<T> listener, RandomGenerator random, LongSupplier sequence) {
        this.owner = owner;
        this.listener = listener;
        this.random = random;
        this.sequence = sequence;
    }

    /**
     * Returns an empty credit.
     *
     * @param owner whose credit it is
     * @param listener receives the decisions
     * @param random decides which requests are admitted whose cost exceeds the own share
     * @param sequence supplies the numbers of the requests, increasing for as long as the incarnation exists: a
     *     coordinator does not answer a number that is below the last one
     * @param <T> a request of a caller
     * @return the credit
     */
    public static <T> AccountCredit<T> create(
            Owner owner, Listener<T> listener, RandomGenerator random, LongSupplier sequence) {
        return new AccountCredit<>(owner, listener, random, sequence);
    }

    /**
     * Decides on a request at once if that is possible; otherwise it waits for a grant.
     *
     * @param request the request
     * @param cost what it counts
     * @param quota the quota
     * @param site the nodes of the site
     * @param now the current time
     */
    public void submit(T request, long cost, AccountQuota quota, QuotaSite site, QuotaTime now) {
        if (cost > quota.maximumCost()) {
            listener.onRefused(request, QuotaSite.WINDOW_MILLIS);
            return;
        }
        refresh(quota, site, now);
        lastSubmitMillis = now.monotonicMillis();
        QuotaTime since = waiting.isEmpty() ? takeFromStock(cost) : null;
        if (cost == 0 || since != null) {
            countAdmitted(cost, now.monotonicMillis());
            listener.onAdmitted(request, new Charge(cost, since));
        } else if (usesOwnShare(now)) {
            decideByOwnShare(request, cost);
        } else if (waiting.isEmpty() && now.monotonicMillis() < refusingUntilMillis) {
            listener.onRefused(request, refusingUntilMillis - now.monotonicMillis());
        } else {
            maximumRefusalPauseMillis = REFUSAL_PAUSE_MILLIS_PER_NODE * site.nodes();
            waiting.add(new Waiting<>(request, cost, now));
        }
    }

    private void countAdmitted(long cost, long nowMillis) {
        recentCost = recentCost(nowMillis) + cost;
        recentCostAtMillis = nowMillis;
    }

    private double recentCost(long nowMillis) {
        return recentCost * Math.exp(-(nowMillis - recentCostAtMillis) / RATE_WINDOW_MILLIS);
    }

    private boolean usesOwnShare(QuotaTime now) {
        return ownShare != null && now.millisSince(ownShare.since()) >= MAXIMUM_WAIT_MILLIS;
    }

    private void decideByOwnShare(T request, long cost) {
        if (ownShare.tryTake(cost, random)) {
            listener.onAdmitted(request, new Charge(cost, null));
        } else {
            listener.onRefused(request, UNANSWERED_RETRY_AFTER_MILLIS);
        }
    }

    /** Removes what has expired and refills the own share. */
    private void refresh(AccountQuota quota, QuotaSite site, QuotaTime now) {
        removeCreditOfAge(QuotaCoordinator.CREDIT_TTL_MILLIS, now);
        if (open != null && now.millisSince(openedAt) >= MAXIMUM_REQUEST_AGE_MILLIS) {
            open = null;
        }
        if (now.monotonicMillis() - lastSubmitMillis >= IDLE_MILLIS) {
            ownShare = null;
        }
        if (ownShare != null) {
            ownShare.refill(quota, site, now);
        }
    }

    private void removeCreditOfAge(long ageMillis, QuotaTime now) {
        stock.removeIf(lot -> now.millisSince(lot.since) >= ageMillis);
    }

    private long stocked() {
        long sum = 0;
        for (Lot lot : stock) {
            sum += lot.amount;
        }
        return sum;
    }

    /** Takes credit, the oldest first; returns from when its validity counts, null when there is not enough. */
    private QuotaTime takeFromStock(long cost) {
        if (cost == 0 || stocked() < cost) {
            return null;
        }
        QuotaTime since = stock.peek().since;
        long missing = cost;
        while (missing > 0) {
            Lot lot = stock.poll();
            if (lot.amount > missing) {
                stock.addFirst(new Lot(lot.amount - missing, lot.since));
            }
            missing -= Math.min(missing, lot.amount);
        }
        return since;
    }

    /**
     * Returns the datagram that is due: a new request or the repetition of an unanswered one.
     *
     * @param now the current time
     * @return the request; null when none is due
     */
    public QuotaRequest nextRequest(QuotaTime now) {
        long interval = usesOwnShare(now) ? UNANSWERED_INTERVAL_MILLIS : MESSAGE_INTERVAL_MILLIS;
        return now.monotonicMillis() - lastMessageMillis < interval ? null : nextLocalRequest(now);
    }

    /**
     * Returns the request that is due to a coordinator within this node, however short the time since the last one.
     *
     * @param now the current time
     * @return the request; null when none is due
     */
    public QuotaRequest nextLocalRequest(QuotaTime now) {
        boolean unanswered = usesOwnShare(now);
        if (open == null && !openRequest(now, unanswered)) {
            return null;
        }
        lastMessageMillis = now.monotonicMillis();
        if (open.usesOwnShare() != unanswered) {
            open = new QuotaRequest(
                    open.node(),
                    open.incarnation(),
                    open.account(),
                    open.wanted(),
                    open.minimum(),
                    open.returned(),
                    unanswered,
                    open.sequence());
        }
        return open;
    }

    private boolean openRequest(QuotaTime now, boolean unanswered) {
        if (!waiting.isEmpty()) {
            // Stock that may expire before the answer can't be counted on; a request within the quota would be refused.
            removeCreditOfAge(QuotaCoordinator.CREDIT_TTL_MILLIS - MAXIMUM_WAIT_MILLIS, now);
        }
        long stocked = stocked();
        long target = stockTarget(now.monotonicMillis());
        long waitingCost = 0;
        long smallestCost = Long.MAX_VALUE;
        for (Waiting<T> one : waiting) {
            waitingCost += one.cost;
            smallestCost = Math.min(smallestCost, one.cost);
        }
        // Less than half is kept until it expires, so that a shrinking stock takes few messages.
        boolean isReturned = waiting.isEmpty() && stocked - target > stocked / 2;
        long excess = isReturned ? stocked - target : 0;
        if (waiting.isEmpty() && excess <= 0 && !unanswered) {
            return false;
        }
        for (Waiting<T> one : waiting) {
            one.isAsked = true;
        }
        if (excess > 0) {
            takeFromStock(excess);
        }
        long wanted = waiting.isEmpty() ? 0 : Math.max(0, waitingCost + target - stocked);
        long minimum = waiting.isEmpty() ? 0 : Math.max(0, smallestCost - stocked);
        open = new QuotaRequest(
                owner.node(),
                owner.incarnation(),
                owner.account(),
                wanted,
                minimum,
                Math.max(0, excess),
                unanswered,
                sequence.getAsLong());
        openedAt = now;
        if (ownShare == null) {
            ownShare = new OwnShare(now);
        }
        return true;
    }

    /** Returns the stock to keep; less than the cost of one recent request would be of no use. */
    private long stockTarget(long nowMillis) {
        long target = (long) (recentCost(nowMillis) * STOCK_MILLIS / RATE_WINDOW_MILLIS);
        return waiting.isEmpty() || target >= waiting.peek().cost ? target : 0;
    }

    /**
     * Processes the answer of the coordinator: admits the requests that the credit covers, refuses the others that
     * were asked for. An answer that is not awaited has no effect.
     *
     * @param grant the answer
     * @param now the current time
     */
    public void onGrant(QuotaGrant grant, QuotaTime now) {
        if (open == null || grant.sequence() != open.sequence()) {
            return;
        }
        long validMillis = Math.min(grant.untilMillis(), QuotaCoordinator.CREDIT_TTL_MILLIS);
        boolean isValid = now.millisSince(openedAt) < validMillis;
        open = null;
        ownShare = null;
        removeCreditOfAge(QuotaCoordinator.CREDIT_TTL_MILLIS, now);
        if (isValid && grant.granted() > 0) {
            stock.add(new Lot(grant.granted(), openedAt));
            refusalPauseMillis = 0;
        }
        if (isValid && grant.granted() == 0 && waiting.stream().anyMatch(one -> one.isAsked)) {
            pauseAfterEmptyAnswer(now.monotonicMillis());
        }
        List<Waiting<T>> asked = new ArrayList<>();
        while (!waiting.isEmpty() && waiting.peek().isAsked) {
            asked.add(waiting.poll());
        }
        for (Waiting<T> one : asked) {
            QuotaTime since = takeFromStock(one.cost);
            if (since != null) {
                countAdmitted(one.cost, now.monotonicMillis());
                listener.onAdmitted(one.request, new Charge(one.cost, since));
            } else {
                listener.onRefused(one.request, grant.retryAfterMillis());
            }
        }
    }

    /** A single empty answer is common within the quota, as when a new coordinator starts with an empty bucket. */
    private void pauseAfterEmptyAnswer(long nowMillis) {
        refusalPauseMillis =
                Math.min(maximumRefusalPauseMillis, Math.max(MESSAGE_INTERVAL_MILLIS, 2 * refusalPauseMillis));
        refusingUntilMillis = nowMillis + refusalPauseMillis;
    }

    /**
     * Takes back the credit of a request that reached no upstream, if it is still valid.
     *
     * @param charge what the request was charged
     */
    public void giveBack(Charge charge) {
        if (charge.grantedSince() != null) {
            stock.addFirst(new Lot(charge.cost(), charge.grantedSince()));
        }
    }

    /**
     * Discards the stock and the open request, since another node has become the coordinator: credit that is returned
     * to a node which did not grant it would count twice.
     */
    public void onCoordinatorChanged() {
        stock.clear();
        open = null;
        refusalPauseMillis = 0;
        refusingUntilMillis = Long.MIN_VALUE;
        waiting.forEach(one -> one.isAsked = false);
    }

    /**
     * Decides on the requests that have waited too long. To be called while there are any.
     *
     * @param quota the quota
     * @param site the nodes of the site
     * @param now the current time
     */
    public void tick(AccountQuota quota, QuotaSite site, QuotaTime now) {
        refresh(quota, site, now);
        // Collected first: a decision may lead to the next request of the same caller.
        List<Waiting<T>> expired = new ArrayList<>();
        while (!waiting.isEmpty() && now.millisSince(waiting.peek().since) >= MAXIMUM_WAIT_MILLIS) {
            expired.add(waiting.poll());
        }
        for (Waiting<T> one : expired) {
            if (usesOwnShare(now)) {
                decideByOwnShare(one.request, one.cost);
            } else {
                listener.onRefused(one.request, UNANSWERED_RETRY_AFTER_MILLIS);
            }
        }
    }

    /**
     * Returns whether the credit needs no ticks.
     *
     * @return whether no request waits, no credit is held and no answer is awaited
     */
    public boolean isIdle() {
        return waiting.isEmpty() && stock.isEmpty() && open == null && ownShare == null;
    }

    /**
     * Returns whether a request waits for credit.
     *
     * @return whether {@link #tick} must be called soon
     */
    public boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /**
     * Returns for how long the coordinator has not answered.
     *
     * @param now the current time
     * @return the time since the first unanswered request, 0 when there is none
     */
    public long unansweredMillis(QuotaTime now) {
        return ownShare == null ? 0 : now.millisSince(ownShare.since());
    }

    /** Admits all requests that wait, since the account is no longer limited. */
    public void release() {
        while (!waiting.isEmpty()) {
            listener.onAdmitted(waiting.poll().request, new Charge(0, null));
        }
    }
}
