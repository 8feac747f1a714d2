package org.cactusshift.standin;

/**
 * The settings of a {@link StandInOrderingService}.
 *
 * @param port the port; 0 lets the operating system choose
 * @param provisionMillis how long an order stays pending, in milliseconds
 * @param capacityPerFailureDomain how many ordered upstreams each failure domain has room for
 */
public record OrderingSettings(int port, long provisionMillis, int capacityPerFailureDomain) {}
