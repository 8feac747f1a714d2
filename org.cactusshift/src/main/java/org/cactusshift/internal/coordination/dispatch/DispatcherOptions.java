package org.cactusshift.internal.coordination.dispatch;

import java.util.Objects;
import org.cactusshift.config.LimitsConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.id.IncarnationId;

/**
 * The fixed options of a dispatcher; accounts and upstreams come from the configuration.
 *
 * @param incarnation the incarnation of this node; makes attempt ids unique across restarts
 * @param kind whether the service is a model, whose streams can be resumed, or a plain service
 * @param maximumQueuedRequests the maximum number of requests queued at this node
 * @param retryBudgetRatio the number of retries allowed per request, 0 to 1, in addition to a reserve
 */
public record DispatcherOptions(
        IncarnationId incarnation, ServiceConfig.Kind kind, int maximumQueuedRequests, double retryBudgetRatio) {
    /** Rejects missing components. */
    public DispatcherOptions {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns the options of a service from the limits of a configuration.
     *
     * @param incarnation the incarnation of this node
     * @param kind the kind of the service
     * @param limits the limits of the active configuration
     * @return the options
     */
    public static DispatcherOptions create(IncarnationId incarnation, ServiceConfig.Kind kind, LimitsConfig limits) {
        return new DispatcherOptions(incarnation, kind, limits.maximumQueuedRequests(), limits.retryBudgetRatio());
    }
}
