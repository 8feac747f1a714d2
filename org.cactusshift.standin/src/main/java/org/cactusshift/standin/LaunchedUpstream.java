package org.cactusshift.standin;

/**
 * An upstream that the platform started for an order.
 *
 * @param upstreamId its name
 * @param address where it serves, as {@code ADDRESS:PORT}
 */
public record LaunchedUpstream(String upstreamId, String address) {}
