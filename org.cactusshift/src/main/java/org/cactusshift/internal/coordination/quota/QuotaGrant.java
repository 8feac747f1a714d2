package org.cactusshift.internal.coordination.quota;

import org.cactusshift.id.AccountId;

/**
 * Answers a {@link QuotaRequest}.
 *
 * @param account the client account
 * @param sequence the number of the request
 * @param granted the credit granted, possibly 0
 * @param untilMillis how long the credit is valid, counted from when the node sent the request, by its own clocks
 * @param retryAfterMillis when credit is expected for what was not granted
 */
public record QuotaGrant(AccountId account, long sequence, long granted, long untilMillis, long retryAfterMillis) {}
