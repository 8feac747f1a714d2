package org.cactusshift.config;

/**
 * Limits on what callers may send and on what nodes may hold.
 *
 * @param maximumBodyBytes the largest request body, in bytes
 * @param maximumHeaderBytes the largest header section, in bytes
 * @param maximumConnections the most caller connections of one node
 * @param maximumQueuedRequests the most requests that wait at one node
 * @param retryBudgetRatio the most retries as a share of requests
 * @param storeCallsPerSecond the most store calls a second of one node
 */
public record LimitsConfig(
        int maximumBodyBytes,
        int maximumHeaderBytes,
        int maximumConnections,
        int maximumQueuedRequests,
        double retryBudgetRatio,
        int storeCallsPerSecond) {}
