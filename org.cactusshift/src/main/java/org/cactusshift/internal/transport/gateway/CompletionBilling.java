package org.cactusshift.internal.transport.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.usage.UsageRecord;

/**
 * Collects the output that each attempt of a request delivered, and records it when the request ends: the caller pays
 * for the prompt once, however many engines worked on it, and for the output that it received.
 */
final class CompletionBilling {
    private final GatewayDependencies components;
    private final Caller caller;
    private final ServiceId service;
    private final Map<AttemptId, Long> outputTokens = new LinkedHashMap<>();

    CompletionBilling(GatewayDependencies components, Caller caller, ServiceId service) {
        this.components = components;
        this.caller = caller;
        this.service = service;
    }

    /** Adds the output of an ended attempt. */
    void addOutput(AttemptId attempt, long delivered) {
        if (delivered > 0) {
            outputTokens.put(attempt, delivered);
        }
    }

    /** Forgets what ended attempts delivered, since the caller never received it. */
    void discardOutput() {
        outputTokens.clear();
    }

    /** Returns the output of all ended attempts. */
    long totalOutputTokens() {
        return outputTokens.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Records a request that was answered to its end. */
    void complete(AttemptId last, long promptTokens) {
        outputTokens.putIfAbsent(last, 0L);
        record(last, promptTokens);
    }

    /** Records a request that ended early; nothing is owed when nothing was delivered. */
    void completePartial(long promptTokens) {
        AttemptId last = null;
        for (AttemptId attempt : outputTokens.keySet()) {
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
        long epochMillis = components.wallClock().millis();
        outputTokens.forEach((attempt, tokens) -> {
            boolean isLast = attempt.equals(last);
            UsageRecord record = new UsageRecord(
                    caller.account(), service, attempt, isLast ? promptTokens : 0, tokens, isLast ? 1 : 0);
            components.usage().record(record, epochMillis);
        });
    }
}
