package org.cactusshift.standin;

/**
 * An execution of a call by a plain service.
 *
 * @param paymentId the payment id in the body; empty when absent
 * @param path the path of the call
 * @param attemptId the attempt id of the call; empty when absent
 * @param idempotencyKey the value of {@code Idempotency-Key}; empty when absent
 * @param atMillis the time of the execution, in milliseconds since 1970 (UTC)
 */
public record Execution(String paymentId, String path, String attemptId, String idempotencyKey, long atMillis) {}
