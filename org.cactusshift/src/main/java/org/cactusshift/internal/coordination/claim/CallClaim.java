package org.cactusshift.internal.coordination.claim;

import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.ServiceId;

/**
 * A claim for one non-repeatable call.
 *
 * @param account the client account
 * @param service the plain service
 * @param idempotencyKey the idempotency key that the caller sent
 * @param bodyDigestHex the SHA-256 digest of method, path and body, in hexadecimal
 * @param attempt the attempt for which the claim is made
 */
public record CallClaim(
        AccountId account, ServiceId service, String idempotencyKey, String bodyDigestHex, AttemptId attempt) {}
