package org.cactusshift.internal.coordination.fairness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.TreeSet;
import org.cactusshift.id.AccountId;

/**
 * Start-time fair queueing over client accounts, work-conserving; within an account, the request with the earliest
 * latest start is served first.
 *
 * <p>Each account has a virtual time that advances by its served work divided by its weight; the account with the
 * lowest virtual time is next. An account that was idle starts at the virtual time of the queue, so that idle time
 * earns no credit. Work served at other nodes is charged in the same way. An account is charged only up to a bound
 * ahead of the queue, so that wrong running totals of other nodes do not starve it.
 *
 * @param <T> the type of a queued request
 */
public final class FairQueue<T> implements RequestQueue<T> {
    /** The work by which an account may be ahead of the virtual time of the queue, in weighted tokens. */
    private static final double MAXIMUM_LEAD_TOKENS = 200_000;

    /** The number of accounts beyond which {@link #costAhead} extrapolates. */
    private static final int MAXIMUM_ACCOUNTS_SCANNED = 64;

    private final Map<AccountId, Flow<T>> flowByAccount = new HashMap<>();
    private final TreeSet<Flow<T>> waitingFlows = new TreeSet<>(
            Comparator.<Flow<T>>comparingDouble(flow -> flow.virtualTime).thenComparing(flow -> flow.account));
    private final TreeSet<Entry<T>> allByLatestStart = new TreeSet<>(byLatestStart());
    /** The lowest virtual time of the waiting accounts when a request was last dequeued; it never decreases. */
    private double virtualTime;

    private long nextSequence;
    private double queuedTokens;
    private int size;

    private FairQueue() {}

    private record Entry<T>(AccountId account, T item, double costTokens, long latestStartMillis, long sequence) {}

    private static final class Flow<T> {
        final AccountId account;
        final TreeSet<Entry<T>> entries = new TreeSet<>(
                Comparator.<Entry<T>>comparingLong(Entry::latestStartMillis).thenComparingLong(Entry::sequence));
        double weight = 1;
        double virtualTime;
        double queuedTokens;

        Flow(AccountId account) {
            this.account = account;
        }

        /** Returns the queued tokens divided by the weight. */
        double weightedBacklog() {
            return queuedTokens / weight;
        }
    }

    private static <T> Comparator<Entry<T>> byLatestStart() {
        return Comparator.<Entry<T>>comparingLong(Entry::latestStartMillis).thenComparingLong(Entry::sequence);
    }

    /**
     * Returns an empty queue.
     *
     * @param <T> the type of a queued request
     * @return the queue
     */
    public static <T> FairQueue<T> create() {
        return new FairQueue<>();
    }

    @Override
    public void add(AccountId account, T item, double costTokens, long latestStartMillis) {
        Flow<T> flow = flow(account);
        if (flow.entries.isEmpty()) {
            flow.virtualTime = Math.max(flow.virtualTime, virtualTime);
            waitingFlows.add(flow);
        }
        Entry<T> entry = new Entry<>(account, item, costTokens, latestStartMillis, nextSequence++);
        flow.entries.add(entry);
        allByLatestStart.add(entry);
        flow.queuedTokens += costTokens;
        queuedTokens += costTokens;
        size++;
    }

    @Override
    public List<T> heads(int limit) {
        List<T> heads = new ArrayList<>(Math.min(limit, waitingFlows.size()));
        for (Flow<T> flow : waitingFlows) {
            if (heads.size() == limit) {
                break;
            }
            heads.add(flow.entries.first().item());
        }
        return heads;
    }

    @Override
    public void dequeue(AccountId account, T item) {
        Flow<T> flow = flow(account);
        Entry<T> entry = flow.entries.stream()
                .filter(e -> e.item() == item)
                .findFirst()
                .orElseThrow(() -> new NoSuchElementException("request is not queued"));
        virtualTime = Math.max(virtualTime, waitingFlows.first().virtualTime);
        removeEntry(flow, entry);
        charge(flow, entry.costTokens());
    }

    @Override
    public boolean remove(AccountId account, T item) {
        Flow<T> flow = flowByAccount.get(account);
        if (flow == null) {
            return false;
        }
        Optional<Entry<T>> entry =
                flow.entries.stream().filter(e -> e.item() == item).findFirst();
        entry.ifPresent(e -> removeEntry(flow, e));
        return entry.isPresent();
    }

    @Override
    public List<T> removeExpired(long nowMillis) {
        List<T> expired = new ArrayList<>();
        while (!allByLatestStart.isEmpty() && allByLatestStart.first().latestStartMillis() < nowMillis) {
            Entry<T> entry = allByLatestStart.first();
            removeEntry(flow(entry.account()), entry);
            expired.add(entry.item());
        }
        return expired;
    }

    private void removeEntry(Flow<T> flow, Entry<T> entry) {
        flow.entries.remove(entry);
        allByLatestStart.remove(entry);
        flow.queuedTokens -= entry.costTokens();
        queuedTokens -= entry.costTokens();
        size--;
        if (flow.entries.isEmpty()) {
            waitingFlows.remove(flow);
            flow.queuedTokens = 0;
        }
    }

    @Override
    public void charge(AccountId account, double costTokens) {
        charge(flow(account), costTokens);
    }

    private void charge(Flow<T> flow, double costTokens) {
        boolean isWaiting = waitingFlows.remove(flow);
        // A refund never moves a flow behind the virtual time of the queue.
        double advancedVirtualTime = Math.max(flow.virtualTime, virtualTime) + costTokens / flow.weight;
        double maximumVirtualTime = virtualTime + MAXIMUM_LEAD_TOKENS / flow.weight;
        flow.virtualTime = Math.max(virtualTime, Math.min(advancedVirtualTime, maximumVirtualTime));
        if (isWaiting) {
            waitingFlows.add(flow);
        }
    }

    @Override
    public void setWeight(AccountId account, double weight) {
        if (!(weight > 0)) {
            throw new IllegalArgumentException("weight of " + account + " not above 0: " + weight);
        }
        flow(account).weight = weight;
    }

    @Override
    public double costAhead(AccountId account, long latestStartMillis) {
        if (size == 0) {
            return 0;
        }
        // The new request is served when the virtual time of its account, advanced by the account's earlier requests,
        // is the lowest. Until then each other account is served as far as it lags behind that virtual time.
        Flow<T> flow = flow(account);
        double ownTokens =
                flow.entries.headSet(new Entry<T>(account, null, 0, latestStartMillis, nextSequence)).stream()
                        .mapToDouble(Entry::costTokens)
                        .sum();
        double leadTokens = Math.max(0, flow.virtualTime - virtualTime) * flow.weight;
        // The target is relative to the queue's virtual time; the lag is how far another account is behind the target.
        double targetLead = (ownTokens + leadTokens) / flow.weight;
        double otherTokens = 0;
        int scanned = 0;
        for (Flow<T> other : waitingFlows) {
            double virtualLag = targetLead - (other.virtualTime - virtualTime);
            if (virtualLag <= 0) {
                break;
            }
            if (scanned == MAXIMUM_ACCOUNTS_SCANNED) {
                otherTokens *= (double) waitingFlows.size() / scanned;
                break;
            }
            scanned++;
            otherTokens += other == flow ? 0 : Math.min(other.queuedTokens, virtualLag * other.weight);
        }
        return ownTokens + otherTokens;
    }

    @Override
    public Optional<T> displacementCandidate(AccountId account) {
        Flow<T> requesting = flow(account);
        Optional<Flow<T>> largestBacklog = waitingFlows.stream().max(Comparator.comparingDouble(Flow::weightedBacklog));
        // Displaces only a request of an account with more than twice the weighted backlog of the requesting one.
        return largestBacklog
                .filter(flow -> flow != requesting && flow.weightedBacklog() > 2 * requesting.weightedBacklog())
                .map(flow -> flow.entries.last().item());
    }

    @Override
    public double queuedTokens() {
        return queuedTokens;
    }

    @Override
    public int size() {
        return size;
    }

    private Flow<T> flow(AccountId account) {
        return flowByAccount.computeIfAbsent(account, Flow::new);
    }
}
