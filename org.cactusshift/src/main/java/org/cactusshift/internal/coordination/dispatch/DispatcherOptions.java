package org.cactusshift.internal.coordination.dispatch;

import java.util.Objects;
import org.cactusshift.config.LimitsConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.id.IncarnationId;

/**
 * What a dispatcher needs to know besides accounts and upstreams.
 *
 * @param incarnation the start of the instance; makes attempt ids unique over restarts
 * @param kind whether the service is a model, whose streams can be resumed, or a plain service
 * @param maximumQueuedRequests the most requests that wait at this node
 * @param retryBudgetRatio the most retries as a share of requests
 */
public record DispatcherOptions(
        IncarnationId incarnation, ServiceConfig.Kind kind, int maximumQueuedRequests, double retryBudgetRatio) {
    /** Checks that no part is missing. */
    public DispatcherOptions {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns the options of a service under the limits of a configuration.
     *
     * @param incarnation the start of the instance
     * @param kind the kind of the service
     * @param limits the limits in force
     * @return the options
     */
    public static DispatcherOptions create(IncarnationId incarnation, ServiceConfig.Kind kind, LimitsConfig limits) {
        return new DispatcherOptions(incarnation, kind, limits.maximumQueuedRequests(), limits.retryBudgetRatio());
    }
}
