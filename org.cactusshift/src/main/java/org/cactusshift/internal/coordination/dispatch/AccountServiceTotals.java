package org.cactusshift.internal.coordination.dispatch;

import org.cactusshift.id.AccountId;

/**
 * The running totals of a client account at one dispatcher, counted since the dispatcher was created.
 *
 * @param account the client account
 * @param prefillTokens prompt tokens sent to upstreams
 * @param decodeTokens output tokens delivered
 * @param requestsInFlight open requests, queued or in flight
 */
public record AccountServiceTotals(AccountId account, long prefillTokens, long decodeTokens, int requestsInFlight) {}
