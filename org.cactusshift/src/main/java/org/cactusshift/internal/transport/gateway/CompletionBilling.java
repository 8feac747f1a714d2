package org.cactusshift.internal.transport.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.usage.UsageRecord;

/**
 * Collects the output that each attempt of a request delivered, and records the usage when the request ends: the caller
 * is billed for the prompt once, however many engines processed it, and for the output that it received.
 */
final class CompletionBilling {
    private final GatewayDependencies dependencies;
    private final Caller caller;
    private final ServiceId service;
    private final Map<AttemptId, Long> outputTokensByAttempt = new LinkedHashMap<>();

    CompletionBilling(GatewayDependencies dependencies, Caller caller, ServiceId service) {
        this.dependencies = dependencies;
        this.caller = caller;
        this.service = service;
    }

    /** Adds the output tokens of an attempt that has ended. */
    void addOutput(AttemptId attempt, long delivered) {
        if (delivered > 0) {
            outputTokensByAttempt.put(attempt, delivered);
        }
    }

    /** Discards the output of ended attempts; called if none of it reached the caller. */
    void discardOutput() {
        outputTokensByAttempt.clear();
    }

    /** Returns the output tokens of all ended attempts. */
    long totalOutputTokens() {
        return outputTokensByAttempt.values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    /** Records the usage of a completed request; the record of the last attempt carries the prompt and the request. */
    void complete(AttemptId last, long promptTokens) {
        outputTokensByAttempt.putIfAbsent(last, 0L);
        record(last, promptTokens);
    }

    /** Records the usage of a request that ended early; nothing is billed when no output was delivered. */
    void completePartial(long promptTokens) {
        AttemptId last = null;
        for (AttemptId attempt : outputTokensByAttempt.keySet()) {
            last = attempt;
        }
        if (last != null) {
            record(last, promptTokens);
        }
    }

    private void record(AttemptId last, long promptTokens) {
        if (!caller.isBilled()) {
            return;
        }
        long epochMillis = dependencies.wallClock().millis();
        outputTokensByAttempt.forEach((attempt, tokens) -> {
            boolean isLast = attempt.equals(last);
            UsageRecord record = new UsageRecord(
                    caller.account(), service, attempt, isLast ? promptTokens : 0, tokens, isLast ? 1 : 0);
            dependencies.usageRecorder().record(record, epochMillis);
        });
    }
}
