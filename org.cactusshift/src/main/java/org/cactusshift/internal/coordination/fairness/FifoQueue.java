package org.cactusshift.internal.coordination.fairness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.function.Predicate;
import org.cactusshift.id.AccountId;

/**
 * First-in-first-out queue that ignores client accounts; the baseline for comparison with {@link FairQueue}.
 *
 * @param <T> the type of a queued request
 */
public final class FifoQueue<T> implements RequestQueue<T> {
    private final ArrayDeque<Entry<T>> entries = new ArrayDeque<>();
    private double queuedTokens;

    private FifoQueue() {}

    private record Entry<T>(T item, double costTokens, long latestStartMillis) {}

    /**
     * Returns an empty queue.
     *
     * @param <T> the type of a queued request
     * @return the queue
     */
    public static <T> FifoQueue<T> create() {
        return new FifoQueue<>();
    }

    @Override
    public void add(AccountId account, T item, double costTokens, long latestStartMillis) {
        entries.addLast(new Entry<>(item, costTokens, latestStartMillis));
        queuedTokens += costTokens;
    }

    @Override
    public List<T> heads(int limit) {
        // The queue has a single head, as it does not distinguish client accounts.
        return entries.isEmpty() || limit < 1
                ? List.of()
                : List.of(entries.peekFirst().item());
    }

    @Override
    public void dequeue(AccountId account, T item) {
        if (!remove(account, item)) {
            throw new NoSuchElementException("request is not queued");
        }
    }

    @Override
    public boolean remove(AccountId account, T item) {
        return !removeIf(entry -> entry.item() == item).isEmpty();
    }

    @Override
    public List<T> removeExpired(long nowMillis) {
        return removeIf(entry -> entry.latestStartMillis() < nowMillis);
    }

    private List<T> removeIf(Predicate<Entry<T>> condition) {
        List<T> removed = new ArrayList<>();
        for (Iterator<Entry<T>> iterator = entries.iterator(); iterator.hasNext(); ) {
            Entry<T> entry = iterator.next();
            if (condition.test(entry)) {
                iterator.remove();
                queuedTokens -= entry.costTokens();
                removed.add(entry.item());
            }
        }
        return removed;
    }

    @Override
    public void charge(AccountId account, double costTokens) {
        // Ignored: requests are served in order of arrival.
    }

    @Override
    public void setWeight(AccountId account, double weight) {
        // Ignored: requests are served in order of arrival.
    }

    @Override
    public double costAhead(AccountId account, long latestStartMillis) {
        return queuedTokens;
    }

    @Override
    public Optional<T> displacementCandidate(AccountId account) {
        return Optional.empty();
    }

    @Override
    public double queuedTokens() {
        return queuedTokens;
    }

    @Override
    public int size() {
        return entries.size();
    }
}
