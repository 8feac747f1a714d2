package org.cactusshift.replay;

import org.cactusshift.config.ServiceConfig;

/**
 * A service of a trace.
 *
 * @param id the service
 * @param kind whether it is a model or a plain service
 * @param orderedPricePerHour the price of one more upstream that stays
 * @param reclaimablePricePerHour the price of one more reclaimable upstream
 * @param protectedUpstreams upstreams needed for work that must not be lost
 */
public record TraceService(
        String id,
        ServiceConfig.Kind kind,
        double orderedPricePerHour,
        double reclaimablePricePerHour,
        double protectedUpstreams) {}
