package org.cactusshift.internal.transport.relay;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;

/**
 * The settings of a relay node.
 *
 * @param instance the instance that the node runs on
 * @param domain the failure domain of the instance
 * @param callers the address on which callers are served
 * @param readiness the address on which the load balancer's readiness checks are answered
 * @param peers the address to which other nodes send gossip messages
 * @param metrics the address on which metrics are served
 * @param store the address of the key-value service, as {@code ADDRESS:PORT}
 * @param platform the address of the service for orders and usage reports, as {@code ADDRESS:PORT}; empty when
 *     there is none
 * @param retries the retry budget
 * @param timing the time bounds of the site
 */
public record NodeSettings(
        InstanceId instance,
        FailureDomainId domain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        InetSocketAddress metrics,
        String store,
        Optional<String> platform,
        Retries retries,
        Timing timing) {
    /**
     * The retry budget: a ratio of the requests plus a fixed number in each window.
     *
     * @param ratio retries allowed for each request
     * @param extra further retries allowed in a window, over the whole site
     * @param windowMillis the length of the window
     */
    public record Retries(double ratio, double extra, long windowMillis) {}

    /**
     * The time bounds of the site.
     *
     * @param leaseMillis the time to live of a duty's lease
     * @param usageWindowMillis the length of a usage window
     * @param configMillis the time within which an accepted configuration is active on every node
     * @param drainMillis the time, from the moment an upstream is seen leaving, after which no more requests reach
     *     it
     * @param graceMillis the time within which a process must exit after it was asked to stop
     */
    public record Timing(
            long leaseMillis, long usageWindowMillis, long configMillis, long drainMillis, long graceMillis) {}
}
