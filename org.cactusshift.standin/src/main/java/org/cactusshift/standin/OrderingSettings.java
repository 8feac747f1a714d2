package org.cactusshift.standin;

/**
 * The settings of a {@link StandInOrderingService}.
 *
 * @param port the port; 0 lets the operating system choose
 * @param provisionMillis the time from an order to the start of its upstreams, in milliseconds
 * @param capacityPerFailureDomain the maximum number of ordered upstreams in each failure domain
 */
public record OrderingSettings(int port, long provisionMillis, int capacityPerFailureDomain) {}
