package org.cactusshift.internal.coordination.fairness;

import java.util.List;
import java.util.Optional;
import org.cactusshift.id.AccountId;

/**
 * Queue of admitted requests that determines which request is served next.
 *
 * @param <T> the type of a queued request; compared by identity
 */
public interface RequestQueue<T> {
    /**
     * Adds a request.
     *
     * @param account the client account that is charged
     * @param item the request
     * @param costTokens its expected work, in weighted tokens: an output token counts as several prompt tokens; above 0
     * @param latestStartMillis the time after which the request can't meet its deadline
     */
    void add(AccountId account, T item, double costTokens, long latestStartMillis);

    /**
     * Returns the next requests, at most one per account, without removing them.
     *
     * @param limit the maximum number of requests
     * @return the requests in the order of service
     */
    List<T> heads(int limit);

    /**
     * Removes a request that is to be sent, and charges its account.
     *
     * @param account the client account that is charged
     * @param item the request
     * @throws java.util.NoSuchElementException if the request is not queued
     */
    void dequeue(AccountId account, T item);

    /**
     * Removes a request without charging its account.
     *
     * @param account the client account under which the request was added
     * @param item the request
     * @return whether the request was queued
     */
    boolean remove(AccountId account, T item);

    /**
     * Removes the requests that can no longer meet their deadlines.
     *
     * @param nowMillis the current time
     * @return the removed requests
     */
    List<T> removeExpired(long nowMillis);

    /**
     * Charges an account for work that did not pass through this queue, or corrects an estimate.
     *
     * @param account the client account
     * @param costTokens the work, in weighted tokens; negative for a refund
     */
    void charge(AccountId account, double costTokens);

    /**
     * Sets the weight of an account.
     *
     * @param account the client account
     * @param weight the weight relative to other accounts, above 0
     */
    void setWeight(AccountId account, double weight);

    /**
     * Returns the work that would be served before a new request, assuming that the accounts with queued requests stay
     * backlogged.
     *
     * @param account the client account of the new request
     * @param latestStartMillis its latest start
     * @return the queued work ahead, in weighted tokens
     */
    double costAhead(AccountId account, long latestStartMillis);

    /**
     * Returns the request to displace when the queue is full.
     *
     * @param account the client account of the new request
     * @return the request with the latest start of the account with the largest backlog relative to its weight, if that
     *     is more than twice the backlog of the given account; else empty, as always from a queue that is not fair
     *     between accounts, and the new request has to be refused
     */
    Optional<T> displacementCandidate(AccountId account);

    /**
     * Returns the work of all queued requests.
     *
     * @return the work, in weighted tokens
     */
    double queuedTokens();

    /**
     * Returns the number of queued requests.
     *
     * @return the number
     */
    int size();
}
