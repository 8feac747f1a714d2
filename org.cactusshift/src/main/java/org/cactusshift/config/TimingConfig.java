package org.cactusshift.config;

/**
 * Periods and timeouts, in milliseconds.
 *
 * @param requestTimeoutMillis the deadline of a request that names none
 * @param headerTimeoutMillis the time within which a caller must have sent the headers and the body
 * @param upstreamProgressTimeoutMillis the longest silence of an upstream connection before it is abandoned
 * @param connectTimeoutMillis the longest time for opening a connection
 * @param heartbeatMillis the period of heartbeats between nodes
 * @param suspicionMillis the silence after which a peer is suspected
 * @param leaseTtlMillis the time to live of a duty lease
 * @param keyFreshnessMillis the age of store contact beyond which keys are no longer honoured by a node that is cut off
 * @param usageWindowMillis the length of a usage window
 * @param usageHandOverMillis the period at which nodes hand over usage counts
 * @param drainTimeoutMillis the limit of a drain before a planned change is put off
 * @param shutdownTimeoutMillis the limit from the signal to the exit of a node
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
