package org.cactusshift.internal.coordination.dispatch;

import org.cactusshift.id.AccountId;

/**
 * The service that a client account received from this node since the dispatcher was created.
 *
 * @param account the client account
 * @param prefillTokens prompt tokens sent to upstreams
 * @param decodeTokens output tokens delivered
 * @param requestsInFlight requests now open, queued or at an upstream
 */
public record AccountServiceTotals(AccountId account, long prefillTokens, long decodeTokens, int requestsInFlight) {}
