package org.cactusshift.standin;

/**
 * One execution of a call by a plain service.
 *
 * @param paymentId the payment that the caller named in the body; empty when it named none
 * @param path the path of the call
 * @param attemptId the attempt
 * @param idempotencyKey the value of {@code Idempotency-Key}; empty when absent
 * @param atMillis when, in milliseconds since 1970
 */
public record Execution(String paymentId, String path, String attemptId, String idempotencyKey, long atMillis) {}
