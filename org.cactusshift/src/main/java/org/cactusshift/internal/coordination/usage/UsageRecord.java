package org.cactusshift.internal.coordination.usage;

import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.ServiceId;

/**
 * The usage of one finished or abandoned attempt.
 *
 * @param account the client account
 * @param service the service
 * @param attempt the attempt
 * @param promptTokens the prompt tokens, counted with the last attempt of the request; 0 for the others
 * @param completionTokens the output tokens of this attempt that were delivered to the caller
 * @param requests 1 when the request ended with this attempt, else 0
 */
public record UsageRecord(
        AccountId account,
        ServiceId service,
        AttemptId attempt,
        long promptTokens,
        long completionTokens,
        long requests) {}
