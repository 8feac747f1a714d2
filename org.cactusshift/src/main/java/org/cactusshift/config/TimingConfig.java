package org.cactusshift.config;

/**
 * Periods and timeouts, in milliseconds.
 *
 * @param requestTimeoutMillis the timeout of a request that sets none
 * @param headerTimeoutMillis the timeout for receiving the headers and the body from a caller
 * @param upstreamProgressTimeoutMillis the longest time without progress after which an upstream connection is closed
 * @param connectTimeoutMillis the timeout for opening a connection
 * @param heartbeatMillis the period of heartbeats between nodes
 * @param suspicionMillis the time without a heartbeat after which a peer is suspected
 * @param leaseTtlMillis the time to live of a duty lease
 * @param keyFreshnessMillis the age of the last store contact above which a node isolated from the store rejects keys
 * @param usageWindowMillis the length of a usage window
 * @param usageHandOverMillis the period of the hand-over of usage counts by nodes
 * @param drainTimeoutMillis the timeout of a drain, after which the planned change is postponed
 * @param shutdownTimeoutMillis the longest time from the shutdown signal to the exit of a node
 */
public record TimingConfig(
        long requestTimeoutMillis,
        long headerTimeoutMillis,
        long upstreamProgressTimeoutMillis,
        long connectTimeoutMillis,
        long heartbeatMillis,
        long suspicionMillis,
        long leaseTtlMillis,
        long keyFreshnessMillis,
        long usageWindowMillis,
        long usageHandOverMillis,
        long drainTimeoutMillis,
        long shutdownTimeoutMillis) {}
