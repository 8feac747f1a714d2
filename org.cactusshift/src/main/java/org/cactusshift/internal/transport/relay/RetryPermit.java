package org.cactusshift.internal.transport.relay;

import org.cactusshift.internal.coordination.serving.ServingRequest;
import org.cactusshift.internal.coordination.serving.WindowedRetryBudget;

/** Takes retries from the budget of a service. */
final class RetryPermit {
    private RetryPermit() {}

    /** Takes a retry of a request; returns false, and logs it, if none is left. */
    static boolean take(RelayContext context, ServingRequest request) {
        WindowedRetryBudget budget = context.retryBudgets().of(request.service());
        int nodes = context.nodeCount().getAsInt();
        long now = context.clock().monotonicMillis();
        if (budget.tryRetry(nodes, now)) {
            return true;
        }
        context.metrics().onRetryDenied(request.service().value());
        context.log()
                .event("retry.denied")
                .with("request", request.id().value())
                .with("service", request.service().value())
                .with("taken", budget.takenRetries(now))
                .with("allowed", budget.allowedRetries(nodes, now))
                .with("nodes", nodes)
                .write();
        return false;
    }
}
