package org.cactusshift.config;

/**
 * Periods and timeouts, in milliseconds.
 *
 * @param requestTimeoutMillis the timeout of a request that sets none
 * @param headerTimeoutMillis the timeout for receiving the headers and the body from a caller
 * @param upstreamProgressTimeoutMillis the longest time without progress of an upstream or of a write to a caller,
 *     after which the connection is closed
 * @param connectTimeoutMillis the timeout for opening a connection
 * @param heartbeatMillis the period of heartbeats between nodes
 * @param suspicionMillis the time without a heartbeat after which a peer is suspected
 * @param leaseTtlMillis the time to live of a duty lease
 * @param keyFreshnessMillis the age of the last contact with the key-value store above which a node rejects client keys
 * @param usageWindowMillis the length of a usage window
 * @param usageHandOverMillis the period at which a node hands its usage counts over to the holder of the usage shard
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
