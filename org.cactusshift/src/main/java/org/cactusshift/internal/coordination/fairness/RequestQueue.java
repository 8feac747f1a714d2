package org.cactusshift.internal.coordination.fairness;

import java.util.List;
import java.util.Optional;
import org.cactusshift.id.AccountId;

/**
 * Holds waiting requests and says which is next.
 *
 * @param <T> the type of a waiting request; compared by identity
 */
public interface RequestQueue<T> {
    /**
     * Adds a request.
     *
     * @param account the client account that pays
     * @param item the request
     * @param costTokens its expected work, in weighted tokens, above 0
     * @param latestStartMillis the time after which it can't meet its deadline
     */
    void add(AccountId account, T item, double costTokens, long latestStartMillis);

    /**
     * Returns the requests that are next, of one account each, and leaves them in the queue.
     *
     * @param limit the most requests to return
     * @return the requests, the one to be served first in front
     */
    List<T> heads(int limit);

    /**
     * Removes a request that is served now, and charges its account.
     *
     * @param account the client account that pays
     * @param item the request
     * @throws java.util.NoSuchElementException if it does not wait
     */
    void serve(AccountId account, T item);

    /**
     * Removes a request without charging its account.
     *
     * @param account the client account that pays
     * @param item the request
     * @return false when it did not wait
     */
    boolean remove(AccountId account, T item);

    /**
     * Removes the requests that can no longer meet their deadline.
     *
     * @param nowMillis the present time
     * @return the requests removed
     */
    List<T> removeExpired(long nowMillis);

    /**
     * Charges an account for work that did not pass through this queue, or corrects an estimate.
     *
     * @param account the client account
     * @param costTokens the work, in weighted tokens; negative to give back
     */
    void charge(AccountId account, double costTokens);

    /**
     * Sets the share of an account.
     *
     * @param account the client account
     * @param weight the share relative to other accounts, above 0
     */
    void setWeight(AccountId account, double weight);

    /**
     * Returns the work that would be served before a new request, if the accounts that wait now went on waiting.
     *
     * @param account the client account of the new request
     * @param latestStartMillis its latest start
     * @return the work of this queue, in weighted tokens
     */
    double costAhead(AccountId account, long latestStartMillis);

    /**
     * Returns the request that should give way when the queue is full.
     *
     * @param account the client account of the request that wants to enter
     * @return a request of an account that waits with more than its share, or empty when the new one has to go
     */
    Optional<T> displacementCandidate(AccountId account);

    /**
     * Returns the work of all waiting requests.
     *
     * @return the work, in weighted tokens
     */
    double queuedTokens();

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    int size();
}
