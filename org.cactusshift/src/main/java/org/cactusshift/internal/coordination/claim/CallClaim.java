package org.cactusshift.internal.coordination.claim;

import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.ServiceId;

/**
 * The claim of one non-repeatable call.
 *
 * @param account the client account
 * @param service the plain service
 * @param idempotencyKey the caller's key
 * @param bodyDigestHex the SHA-256 of method, path and body, as hex
 * @param attempt the attempt for which the claim is made
 */
public record CallClaim(
        AccountId account, ServiceId service, String idempotencyKey, String bodyDigestHex, AttemptId attempt) {}
