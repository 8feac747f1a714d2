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
 * @param callerAddress the address on which callers are served
 * @param readinessAddress the address on which the load balancer's readiness checks are answered
 * @param peerAddress the address to which other nodes send gossip messages
 * @param metricsAddress the address on which metrics are served
 * @param storeAddress the address of the platform's key-value store, as {@code ADDRESS:PORT}
 * @param platformAddress the address of the platform's API for orders and usage reports, as {@code ADDRESS:PORT};
 *     empty when there is none
 * @param retries the retry budget
 * @param timing the periods and time limits of the site
 */
public record NodeSettings(
        InstanceId instance,
        FailureDomainId domain,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress metricsAddress,
        String storeAddress,
        Optional<String> platformAddress,
        Retries retries,
        Timing timing) {
    /**
     * The retry budget: a ratio of the requests plus a fixed number in each window.
     *
     * @param ratio the number of retries allowed for each request of a node in the window
     * @param fixedPart the retries allowed in a window in addition, regardless of the requests; shared by all nodes
     * @param windowMillis the length of the window, in milliseconds
     */
    public record Retries(double ratio, double fixedPart, long windowMillis) {}

    /**
     * The periods and time limits of the site.
     *
     * @param leaseMillis the time to live of a duty's lease
     * @param usageWindowMillis the length of a usage window
     * @param configMillis the time within which a configuration must be active on every node, from its write to the
     *     store
     * @param drainMillis the time, from the moment an upstream is seen leaving, after which no more requests reach it
     * @param graceMillis the time within which a process must exit after it was asked to stop
     */
    public record Timing(
            long leaseMillis, long usageWindowMillis, long configMillis, long drainMillis, long graceMillis) {}
}
