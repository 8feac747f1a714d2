package org.cactusshift.replay;

import org.cactusshift.config.ServiceConfig;

/**
 * A service of a trace.
 *
 * @param id the id of the service
 * @param kind the kind of service
 * @param orderedPricePerHour the price per hour of an on-demand upstream, in the currency of the trace
 * @param reclaimablePricePerHour the price per hour of a reclaimable upstream, in the same currency
 * @param protectedUpstreams the number of on-demand upstreams that must remain after the loss of any one failure
 *     domain, for requests that must not be lost
 */
public record TraceService(
        String id,
        ServiceConfig.Kind kind,
        double orderedPricePerHour,
        double reclaimablePricePerHour,
        double protectedUpstreams) {}
