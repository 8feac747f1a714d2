package org.cactusshift.internal.coordination.serving;

import org.cactusshift.id.ServiceId;

/**
 * A service with its share of a route's requests.
 *
 * @param service the service
 * @param weight the weight relative to the other services of the route, 0 or more
 */
public record WeightedService(ServiceId service, int weight) {}
