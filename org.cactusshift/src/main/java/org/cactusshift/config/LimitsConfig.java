package org.cactusshift.config;

/**
 * Limits on requests and on the resources of a node.
 *
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param maximumHeaderBytes the maximum size of a header section, in bytes
 * @param maximumConnections the maximum number of caller connections of one node
 * @param maximumQueuedRequests the maximum number of requests queued at one node
 * @param retryBudgetRatio the retry budget: the maximum ratio of retries to requests; see {@code RetryBudget}
 * @param storeCallsPerSecond the maximum rate of calls of one node to the key-value store, in calls per second
 */
public record LimitsConfig(
        int maximumBodyBytes,
        int maximumHeaderBytes,
        int maximumConnections,
        int maximumQueuedRequests,
        double retryBudgetRatio,
        int storeCallsPerSecond) {}
