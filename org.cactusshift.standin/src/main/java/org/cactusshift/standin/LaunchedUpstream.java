package org.cactusshift.standin;

/**
 * An upstream that the platform started for an order.
 *
 * @param upstreamId the id of the upstream
 * @param address the address on which it listens, as {@code ADDRESS:PORT}
 */
public record LaunchedUpstream(String upstreamId, String address) {}
